// A caller's request as the core sees it: sizes and keys, never its bytes.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutuspier {

/// A prompt goes to a model engine, a service call to a plain service.
enum class RequestKind { Prompt, ServiceCall };

/// Prompt tokens that one prefix block covers.
inline constexpr std::uint64_t kPrefixBlockTokens = 1024;
/// A prompt below this many tokens counts as short.
inline constexpr std::uint64_t kShortPromptTokens = 4'096;
/// A prompt from this many tokens on counts as long.
inline constexpr std::uint64_t kLongPromptTokens = 32'768;

/// What a caller asks for.
struct RequestSpec
{
    RequestKind kind = RequestKind::Prompt;
    std::string team;
    std::string className;
    /// Model name for a prompt, service name for a call.
    std::string target;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    /// Chained digests of the prompt's blocks of `kPrefixBlockTokens` tokens.
    std::vector<std::uint64_t> prefixBlocks;
    Fingerprint fingerprint;
    /// The caller's own limit; zero leaves it to the class.
    Duration timeLimit{};
    /// False for a call that must run at most once; it then has an idempotency key.
    bool isRetryable = true;
    std::string idempotencyKey;
    WallTime keyIssuedAt{};
};

} // namespace arbutuspier
