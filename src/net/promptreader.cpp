// Event-driven JSON: a body of a million tokens is never copied into a tree.
#include "net/promptreader.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace arbutuspier {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kMaxMaxTokens = 1'000'000;

/// Chains the digests of fixed-size blocks of all prompt text.
class BlockDigester
{
public:
    void add(std::string_view text)
    {
        m_bytes += text.size();
        while (!text.empty()) {
            const std::size_t room = kBlockBytes - m_block.size();
            const std::string_view piece = text.substr(0, room);
            m_block += piece;
            text.remove_prefix(piece.size());
            if (m_block.size() < kBlockBytes)
                continue;
            m_last = XXH64(m_block.data(), m_block.size(), m_last);
            m_blocks.push_back(m_last);
            m_block.clear();
        }
    }
    std::uint64_t bytes() const { return m_bytes; }
    std::vector<std::uint64_t> takeBlocks() { return std::move(m_blocks); }

private:
    static constexpr std::size_t kBlockBytes = kPrefixBlockTokens * kBytesPerToken;
    std::string m_block;
    std::uint64_t m_last = 0;
    std::uint64_t m_bytes = 0;
    std::vector<std::uint64_t> m_blocks;
};

class Handler final : public nlohmann::json_sax<Json>
{
public:
    bool null() override { return true; }
    bool boolean(bool value) override
    {
        if (m_depth == 1 && m_key == "stream")
            m_summary.isStreaming = value;
        return true;
    }
    bool number_integer(std::int64_t) override
    {
        if (m_depth == 1 && m_key == "max_tokens")
            m_error = "max_tokens: expected a whole number from 1 on";
        return true;
    }
    bool number_unsigned(std::uint64_t value) override
    {
        if (m_depth != 1 || (m_key != "max_tokens" && m_key != "max_completion_tokens"))
            return true;
        if (value == 0 || value > kMaxMaxTokens)
            m_error = "max_tokens: expected a whole number from 1 to 1000000";
        m_summary.maxTokens = value;
        return true;
    }
    bool number_float(double, const std::string &) override { return number_integer(0); }
    bool string(std::string &value) override
    {
        const bool isPrompt = m_depth == 1 && m_key == "prompt";
        const bool isMessage = m_isInMessages && (m_key == "content" || m_key == "text");
        if (m_depth == 1 && m_key == "model")
            m_summary.model = value;
        if (isPrompt || isMessage) {
            m_hasPrompt = true;
            m_digester.add(value);
        }
        return true;
    }
    bool binary(Json::binary_t &) override { return true; }
    bool start_object(std::size_t) override { return deeper(); }
    bool end_object() override
    {
        --m_depth;
        return true;
    }
    bool start_array(std::size_t) override
    {
        if (m_depth == 1)
            m_isInMessages = m_key == "messages";
        return deeper();
    }
    bool end_array() override
    {
        --m_depth;
        if (m_depth == 1)
            m_isInMessages = false;
        return true;
    }
    bool key(std::string &value) override
    {
        m_key = value;
        return true;
    }
    bool parse_error(std::size_t position, const std::string &,
                     const nlohmann::detail::exception &) override
    {
        m_error = "not valid JSON at byte " + std::to_string(position);
        return false;
    }

    Result<PromptSummary> result()
    {
        if (!m_error.empty())
            return Error(m_error);
        if (m_summary.model.empty())
            return Error("model: missing");
        if (!m_hasPrompt || m_digester.bytes() == 0)
            return Error("prompt or messages: missing or empty");
        if (m_summary.maxTokens == 0)
            m_summary.maxTokens = kDefaultMaxTokens;
        m_summary.promptTokens = std::max<std::uint64_t>(1, m_digester.bytes() / kBytesPerToken);
        m_summary.prefixBlocks = m_digester.takeBlocks();
        return std::move(m_summary);
    }

private:
    bool deeper()
    {
        constexpr int kMaxDepth = 64;
        ++m_depth;
        if (m_depth > kMaxDepth)
            m_error = "nested too deeply";
        return m_depth <= kMaxDepth;
    }

    PromptSummary m_summary;
    BlockDigester m_digester;
    std::string m_key;
    std::string m_error;
    int m_depth = 0;
    bool m_isInMessages = false;
    bool m_hasPrompt = false;
};

} // namespace

Result<PromptSummary> readPrompt(std::string_view body)
{
    Handler handler;
    Json::sax_parse(body, &handler);
    return handler.result();
}

Fingerprint fingerprintOf(std::string_view body)
{
    return Fingerprint{XXH64(body.data(), body.size(), 1)};
}

} // namespace arbutuspier
