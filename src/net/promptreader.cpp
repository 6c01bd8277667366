// Uses the on-demand parser of simdjson, which reads a body of a million tokens once and builds no
// tree.
#include "net/promptreader.h"

#include <simdjson.h>
#include <xxhash.h>

#include <algorithm>

namespace arbutuspier {

namespace {

constexpr std::uint64_t kMaxTokensLimit = 1'000'000;

/// Computes a digest of each fixed-size block of the prompt text, seeded with the digest before it.
/// Equal digests thus mean an equal prefix. A last block that isn't full has none.
class BlockDigester
{
public:
    void add(std::string_view text)
    {
        m_bytes += text.size();
        while (!text.empty()) {
            const std::size_t room = kBlockBytes - m_block.size();
            const std::string_view chunk = text.substr(0, room);
            m_block += chunk;
            text.remove_prefix(chunk.size());
            if (m_block.size() < kBlockBytes)
                continue;
            m_lastDigest = XXH64(m_block.data(), m_block.size(), m_lastDigest);
            m_digests.push_back(m_lastDigest);
            m_block.clear();
        }
    }
    std::uint64_t bytes() const { return m_bytes; }
    std::vector<std::uint64_t> takeDigests() { return std::move(m_digests); }

private:
    static constexpr std::size_t kBlockBytes = kPrefixBlockTokens * kBytesPerToken;
    std::string m_block;
    std::uint64_t m_lastDigest = 0;
    std::uint64_t m_bytes = 0;
    std::vector<std::uint64_t> m_digests;
};

/// Reads the fields of a request; the first error ends the parse.
class PromptParser
{
public:
    Result<PromptSummary> parse(std::string_view body)
    {
        simdjson::ondemand::parser parser;
        const simdjson::padded_string padded(body);
        simdjson::ondemand::document document;
        simdjson::ondemand::object object;
        if (parser.iterate(padded).get(document) || document.get_object().get(object))
            return Error("not a JSON object");
        for (auto field : object) {
            std::string_view key;
            simdjson::ondemand::value value;
            if (field.unescaped_key().get(key) || field.value().get(value))
                return Error("not valid JSON");
            if (!readField(key, value))
                return Error(m_error);
        }
        const char *rest = nullptr;
        if (document.current_location().get(rest) == simdjson::SUCCESS)
            return Error("not valid JSON: more text after the object");
        return summary();
    }

private:
    bool readField(std::string_view key, simdjson::ondemand::value value)
    {
        if (key == "model")
            return readModel(value);
        if (key == "max_tokens" || key == "max_completion_tokens")
            return readMaxTokens(value);
        if (key == "stream")
            return value.get_bool().get(m_summary.isStreaming) == simdjson::SUCCESS
                || fail("stream: expected true or false");
        if (key == "prompt")
            return readText(value) || fail("prompt: expected text");
        if (key == "messages")
            return readMessages(value);
        return value.raw_json_token().size() > 0 || fail("not valid JSON");
    }

    bool readModel(simdjson::ondemand::value value)
    {
        std::string_view model;
        if (value.get_string().get(model))
            return fail("model: expected text");
        m_summary.model = model;
        return true;
    }

    bool readMaxTokens(simdjson::ondemand::value value)
    {
        const bool isNumber = value.get_uint64().get(m_summary.maxTokens) == simdjson::SUCCESS;
        const bool isValid =
            isNumber && m_summary.maxTokens > 0 && m_summary.maxTokens <= kMaxTokensLimit;
        return isValid || fail("max_tokens: expected a whole number from 1 to 1000000");
    }

    bool readText(simdjson::ondemand::value value)
    {
        std::string_view text;
        if (value.get_string().get(text))
            return false;
        m_digester.add(text);
        return true;
    }

    bool readMessages(simdjson::ondemand::value value)
    {
        simdjson::ondemand::array messages;
        if (value.get_array().get(messages))
            return fail("messages: expected an array");
        for (auto message : messages) {
            simdjson::ondemand::value content;
            if (message["content"].get(content))
                return fail("messages: each message needs a field content");
            if (!readContent(content))
                return fail("messages: content: expected text or an array of parts");
        }
        return true;
    }

    bool readContent(simdjson::ondemand::value content)
    {
        simdjson::ondemand::json_type type{};
        if (content.type().get(type))
            return false;
        if (type == simdjson::ondemand::json_type::string)
            return readText(content);
        simdjson::ondemand::array parts;
        if (content.get_array().get(parts))
            return false;
        for (auto part : parts) {
            simdjson::ondemand::value text;
            // Parts without text, such as images, are not counted as prompt tokens.
            if (part["text"].get(text))
                continue;
            if (!readText(text))
                return false;
        }
        return true;
    }

    Result<PromptSummary> summary()
    {
        if (m_summary.model.empty())
            return Error("model: missing");
        if (m_digester.bytes() == 0)
            return Error("prompt or messages: missing or empty");
        if (m_summary.maxTokens == 0)
            m_summary.maxTokens = kDefaultMaxTokens;
        m_summary.promptTokens = std::max<std::uint64_t>(1, m_digester.bytes() / kBytesPerToken);
        m_summary.prefixBlocks = m_digester.takeDigests();
        return std::move(m_summary);
    }

    bool fail(std::string_view error)
    {
        m_error = error;
        return false;
    }

    PromptSummary m_summary;
    BlockDigester m_digester;
    std::string m_error;
};

} // namespace

Result<PromptSummary> readPrompt(std::string_view body)
{
    return PromptParser().parse(body);
}

Fingerprint bodyFingerprint(std::string_view body)
{
    return Fingerprint{XXH64(body.data(), body.size(), 1)};
}

} // namespace arbutuspier
