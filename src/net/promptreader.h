// Reads what the core needs from a completion request's JSON without building a document.
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
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    bool isStreaming = false;
    std::vector<std::uint64_t> prefixBlocks;
};

/// Bytes of text that count as one token.
inline constexpr std::uint64_t kBytesPerToken = 4;
inline constexpr std::uint64_t kDefaultMaxTokens = 256;

/// Reads an OpenAI-compatible body. The error says what is missing or wrong.
Result<PromptSummary> readPrompt(std::string_view body);

/// Digest of a whole body.
Fingerprint bodyFingerprint(std::string_view body);

} // namespace arbutuspier
