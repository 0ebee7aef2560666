// What may be proposed: keys, sizes, and each document by the one decoder (`src/settings`). No I/O.
#pragma once

#include <string>

#include "../settings/settings.hpp"
#include "store.hpp"

namespace lotuslead::config {

inline constexpr std::size_t kMaxKeyBytes = 512;              // bytes
inline constexpr std::size_t kMaxChanges = 1000;              // of a transaction
inline constexpr std::size_t kMaxTransactionBytes = 1 << 20;  // bytes, as it is proposed

// Throws settings::DecodeError with the field, and the key, named.
void validate(const Transaction& transaction);

// `{"if":[{"key":K,"revision":N}],"do":[{"key":K,"value":V}]}`; without `value` the document goes. Throws as
// check does, which it calls.
Transaction readTransaction(const nlohmann::json& text);

}  // namespace lotuslead::config
