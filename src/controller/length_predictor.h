/// \file Prediction of answer lengths, to mark long work.
#pragma once

#include "board/length_board.h"
#include "core/id_type.h"
#include "core/result.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace acacianotch {

/// Predicted output tokens above which work is long.
inline constexpr double LongWorkTokens = 2000;

/// Settings of the predictor.
struct length_settings {
  std::size_t Capacity = 4096; ///< Records kept; at least 16.
  double FirstGuess = 500;     ///< Output tokens before anything is learnt.
};

/// Features of a request that are known before it runs.
struct length_features {
  std::string_view Class;                 ///< Request class.
  account_id Account;                     ///< Client account.
  std::optional<std::uint32_t> MaxTokens; ///< Caller's limit on the answer.
};

/// Predicted work.
struct length_prediction {
  double OutputTokens = 0; ///< Expected output tokens.
  bool Long = false;       ///< Whether it is long work.
};

/// Learns answer lengths by class, by class and account, and by these and the
/// magnitude of the caller's limit. Each level falls back on the one before.
class length_predictor {
public:
  /// \return the predictor; `bad_settings` if a value is out of range.
  [[nodiscard]] static auto create(length_settings Settings)
      -> result<length_predictor>;

  /// \return the predicted work of a request.
  [[nodiscard]] auto predict(const length_features &Features) const
      -> length_prediction;

  /// Records the output tokens of a complete answer.
  auto observe(const length_features &Features, std::uint32_t OutputTokens)
      -> void;

  /// \return the state, for metrics and dumps.
  [[nodiscard]] auto board() const -> const length_board & { return Board; }

private:
  explicit length_predictor(const length_settings &Value)
      : Settings(Value), Board(Value.Capacity) {}

  length_settings Settings;
  length_board Board;
};

} // namespace acacianotch
