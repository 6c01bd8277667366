// Extracts what the core needs from the JSON of a completion request.
#pragma once

#include "arbutuspier/request.h"
#include "arbutuspier/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

struct PromptSummary
{
    std::string model;
    /// Estimated from the length of the text in bytes; at least one.
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    bool isStreaming = false;
    /// Chained digests of the full blocks of `kPrefixBlockTokens` tokens.
    std::vector<std::uint64_t> prefixBlocks;
};

/// Bytes of text that are counted as one token.
inline constexpr std::uint64_t kBytesPerToken = 4;
/// Used if a request has no max_tokens.
inline constexpr std::uint64_t kDefaultMaxTokens = 256;

/// Parses an OpenAI-compatible body. The error says what is missing or invalid.
Result<PromptSummary> readPrompt(std::string_view body);

/// Digest of a whole request body.
Fingerprint bodyFingerprint(std::string_view body);

} // namespace arbutuspier
