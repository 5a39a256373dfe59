/// \file Binary encoding of messages, log records and snapshots.
#pragma once

#include "core/result.h"
#include "replication/message_type.h"

#include <string>
#include <string_view>
#include <variant>

namespace acacianotch {

/// \return the encoding of \p Envelope.
[[nodiscard]] auto encodeEnvelope(const envelope &Envelope) -> std::string;

/// \return the message decoded from \p Encoded; `corrupt_data` if it is not
/// valid.
[[nodiscard]] auto decodeEnvelope(std::string_view Encoded) -> result<envelope>;

/// \return the encoding of \p Members, the payload of a membership record.
[[nodiscard]] auto encodeMembership(const membership &Members) -> std::string;

/// \return the membership decoded from \p Encoded; `corrupt_data` if it is not
/// valid.
[[nodiscard]] auto decodeMembership(std::string_view Encoded)
    -> result<membership>;

/// \return the encoding of \p Snapshot.
[[nodiscard]] auto encodeSnapshot(const snapshot &Snapshot) -> std::string;

/// \return the snapshot decoded from \p Encoded; `corrupt_data` if it is not
/// valid.
[[nodiscard]] auto decodeSnapshot(std::string_view Encoded) -> result<snapshot>;

/// Content of one frame of the log file.
using log_frame = std::variant<term_state, log_record>;

/// \return the log file frame that stores \p State.
[[nodiscard]] auto encodeFrame(const term_state &State) -> std::string;

/// \return the log file frame that stores \p Record.
[[nodiscard]] auto encodeFrame(const log_record &Record) -> std::string;

/// \return the content of the frame \p Encoded; `corrupt_data` if it is not
/// valid.
[[nodiscard]] auto decodeFrame(std::string_view Encoded) -> result<log_frame>;

} // namespace acacianotch
