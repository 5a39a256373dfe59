/// \file Prediction of answer lengths, to classify long work.
#pragma once

#include "board/length_board.h"
#include "core/id_type.h"
#include "core/result.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace acacianotch {

/// Predicted output tokens above which a request counts as long work.
inline constexpr double LongWorkTokens = 2000;

/// Settings of the predictor.
struct length_settings {
  std::size_t Capacity = 4096; ///< Maximum number of records; at least 16.
  double InitialTokens = 500;  ///< Predicted output tokens without records.
};

/// Features of a request that are available before it runs.
struct length_features {
  std::string_view Class;                 ///< Request class.
  account_id Account;                     ///< Client account.
  std::optional<std::uint32_t> MaxTokens; ///< Caller's limit on the answer.
};

/// Predicted length of an answer.
struct length_prediction {
  double OutputTokens = 0; ///< Expected output tokens.
  bool Long = false;       ///< Counts as long work.
};

/// Predicts answer lengths from the mean lengths of three levels: the class;
/// the class and account; and these with the magnitude of the caller's limit.
/// Each level is smoothed towards the more general one above it.
class length_predictor {
public:
  /// \return the predictor; `bad_settings` if a value is out of range.
  [[nodiscard]] static auto create(length_settings Settings)
      -> result<length_predictor>;

  /// \return the predicted answer length of a request.
  [[nodiscard]] auto predict(const length_features &Features) const
      -> length_prediction;

  /// Records the output tokens of a complete answer.
  auto observe(const length_features &Features, std::uint32_t OutputTokens)
      -> void;

  /// \return the records, for metrics and dumps.
  [[nodiscard]] auto board() const -> const length_board & { return Board; }

private:
  explicit length_predictor(const length_settings &Value)
      : Settings(Value), Board(Value.Capacity) {}

  length_settings Settings;
  length_board Board;
};

} // namespace acacianotch
