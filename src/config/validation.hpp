// Validation of transactions before they are proposed: keys, sizes, and the contents of each document, by
// the decoders in `src/settings`. Does no I/O.
#pragma once

#include <string>

#include "../settings/settings.hpp"
#include "store.hpp"

namespace lotuslead::config {

inline constexpr std::size_t kMaxKeyBytes = 512;
inline constexpr std::size_t kMaxChanges = 1000;  // per transaction; the same limit applies to conditions
inline constexpr std::size_t kMaxTransactionBytes = 1 << 20;  // of the encoded command

// Throws settings::DecodeError, whose message names the key and the field.
void validate(const Transaction& transaction);

// Reads `{"if":[{"key":K,"revision":N}],"do":[{"key":K,"value":V}]}`; a change without `value` deletes the
// document. Validates the result. Throws settings::DecodeError.
Transaction readTransaction(const nlohmann::json& text);

}  // namespace lotuslead::config
