/// \file Recording of ratings on a cascade's blackboard.
#pragma once

#include "board/cascade_board.h"
#include "core/result.h"

#include <string_view>
#include <vector>

namespace acacianotch {

/// Result of one order to the rating service.
enum class rating_outcome : std::uint8_t {
  missing, ///< No result in time, or an error.
  passed,  ///< The answer passes.
  failed,  ///< The answer does not pass.
};

/// What a rating is for.
enum class rating_kind : std::uint8_t {
  invalid, ///< Not set.
  first,   ///< Answer of the first attempt.
  confirm, ///< Second, independent rating of a passed first answer.
  rescue,  ///< Answer of the second attempt after a low rating.
};

/// A rating that the caller should order.
struct rating_order {
  rating_kind Kind = rating_kind::invalid; ///< Purpose.
  std::size_t Cell = 0;                    ///< Cell of the request.
  std::size_t First = 0;                   ///< Candidate of first attempt.
  std::size_t Rated = 0; ///< Candidate whose answer is to be rated.
};

/// Features of a request that are known before it runs.
struct request_features {
  std::string_view Class;  ///< Request class.
  bool Long = false;       ///< Predicted long work.
  bool Streaming = false;  ///< The caller needs the first token at once.
  double InputTokens = 0;  ///< Tokens of the prompt.
  double OutputTokens = 0; ///< Predicted tokens of the answer.
};

/// \return success, or `bad_settings` if a value is out of range or the
/// candidates are not ordered by cost.
[[nodiscard]] auto
checkCascade(const cascade_settings &Settings,
             const std::vector<cascade_candidate> &Candidates) -> result<void>;

/// \return the index of the cell for \p Features, which is created if needed.
/// The number of cells is bounded; further classes share their cells.
[[nodiscard]] auto cellFor(cascade_board &Board,
                           const request_features &Features) -> std::size_t;

/// \return the record that ratings of \p Order update.
[[nodiscard]] auto recordFor(cascade_board &Board, const rating_order &Order)
    -> pass_rate &;

/// Earlier states of the records, to undo ratings that turn out to be wrong.
class record_history {
public:
  /// Counts one rating and keeps a copy of the records every few hundred.
  auto ratingAdded(const cascade_board &Board) -> void;

  /// Puts back the records from at least 300 ratings ago, or the catalogue's
  /// estimates if there are none.
  auto restore(cascade_board &Board) -> void;

  /// \return the pass rate that the older records predict for a first answer;
  /// the catalogue's estimate if they hold too few ratings.
  [[nodiscard]] auto expected(const cascade_board &Board,
                              const rating_order &Order) const -> double;

private:
  using record_copy = std::vector<std::vector<candidate_record>>;

  record_copy Older;
  record_copy Newer;
  std::size_t SinceCopy = 0;
};

/// Records \p Outcome of \p Order: the service's health always, the candidate's
/// record only while ratings are trusted.
auto recordRating(cascade_board &Board, record_history &History,
                  const rating_order &Order, rating_outcome Outcome) -> void;

} // namespace acacianotch
