// A caller's request as the decision core sees it: its sizes and keys, without its content.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutuspier {

/// A prompt goes to a model engine, a service call to a plain service.
enum class RequestKind { Prompt, ServiceCall };

/// Number of prompt tokens in one prefix block.
inline constexpr std::uint64_t kPrefixBlockTokens = 1024;
/// A prompt with fewer tokens is in the short length class.
inline constexpr std::uint64_t kShortPromptTokens = 4'096;
/// A prompt with at least this many tokens is in the long length class.
inline constexpr std::uint64_t kLongPromptTokens = 32'768;

/// Properties of a caller's request.
struct RequestSpec
{
    RequestKind kind = RequestKind::Prompt;
    std::string team;
    std::string className;
    /// Model name for a prompt, service name for a call.
    std::string target;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    /// Hashes of the prompt's blocks of `kPrefixBlockTokens` tokens; each includes the one before.
    std::vector<std::uint64_t> prefixBlocks;
    Fingerprint fingerprint;
    /// Time limit set by the caller; zero if the default of the class applies.
    Duration timeLimit{};
    /// False for an at-most-once call, which has an idempotency key.
    bool isRetryable = true;
    std::string idempotencyKey;
    WallTime keyIssuedAt{};
};

} // namespace arbutuspier
