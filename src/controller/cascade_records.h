/// \file Recording of ratings in the state of a cascade.
#pragma once

#include "board/cascade_board.h"
#include "core/result.h"

#include <string_view>
#include <vector>

namespace acacianotch {

/// Outcome of one request to the rating service.
enum class rating_outcome : std::uint8_t {
  missing, ///< Timeout or error.
  passed,  ///< The answer passes.
  failed,  ///< The answer does not pass.
};

/// Purpose of a rating.
enum class rating_kind : std::uint8_t {
  invalid,   ///< Not set.
  first,     ///< Rates the answer of the first attempt.
  confirm,   ///< Second, independent rating of a first answer that passed.
  escalated, ///< Rates the answer of the second attempt.
};

/// A rating that the caller should request from the rating service.
struct rating_request {
  rating_kind Kind = rating_kind::invalid; ///< Purpose.
  std::size_t Cell = 0;                    ///< Cell of the request.
  std::size_t First = 0;                   ///< Candidate of the first attempt.
  std::size_t Rated = 0; ///< Candidate whose answer is to be rated.
};

/// Features of a request that are known before it runs.
struct request_features {
  std::string_view Class;  ///< Request class.
  bool Long = false;       ///< Whether it is predicted to be long work.
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
/// The number of cells is limited; classes beyond the limit share cells.
[[nodiscard]] auto findOrCreateCell(cascade_board &Board,
                                    const request_features &Features)
    -> std::size_t;

/// \return the pass rate that the outcome of \p Request updates.
[[nodiscard]] auto recordFor(cascade_board &Board,
                             const rating_request &Request) -> pass_rate &;

/// Snapshots of the records, to undo ratings that turn out to be wrong.
class record_history {
public:
  /// Counts one rating; takes a snapshot of the records every 300 ratings.
  auto countRating(const cascade_board &Board) -> void;

  /// Restores the records from at least 300 ratings ago. Without a snapshot, it
  /// resets the records, so that the catalogue's estimates apply.
  auto restore(cascade_board &Board) -> void;

  /// \return the pass rate that the older snapshot predicts for a first answer,
  /// or the catalogue's estimate if the snapshot has too few ratings.
  [[nodiscard]] auto expectedPassRate(const cascade_board &Board,
                                      const rating_request &Request) const
      -> double;

private:
  using record_snapshot = std::vector<std::vector<candidate_record>>;

  record_snapshot OlderSnapshot;
  record_snapshot NewerSnapshot;
  std::size_t RatingsSinceSnapshot = 0;
};

/// Records \p Outcome of \p Request. Always updates the health of the rating
/// service; updates the candidate's record only while ratings are trusted.
auto recordRating(cascade_board &Board, record_history &History,
                  const rating_request &Request, rating_outcome Outcome)
    -> void;

} // namespace acacianotch
