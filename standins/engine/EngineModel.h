#pragma once

#include "base/Base.h"
#include "KvMemory.h"
#include "PrefixCache.h"

#include <list>
#include <optional>
#include <string>
#include <vector>

namespace hyssop::standins {

struct EngineParameters
{
    double prefillTokensPerSecond = 40'000;
    base::Millis stepBase{8}; ///< Model time of a step that computes no prompt tokens.
    std::int64_t chunkTokens = 1'024; ///< Prompt tokens computed in one step.
    std::int64_t kvTokens = 400'000;
    std::size_t maxBatch = 64;
    /// Model time for which later sequences of the same or less urgency may pass one that waits
    /// for memory.
    base::Millis maxBypass{1'000};
    /// The same for more urgent ones.
    base::Millis maxUrgentBypass{20'000};
};

/// What a sequence needs and has done.
struct Sequence
{
    std::string attempt;
    std::string owner;
    int priority = 1; ///< Lower goes first.
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
    std::vector<std::uint64_t> blocks;
    bool isGang = false; ///< Lives in the memory reserved under its attempt's id.
    std::int64_t prefilled = 0;
    std::int64_t generated = 0;
    bool isRunning = false;
    std::optional<base::Micros> blockedSince; ///< Model time; set while memory is short.

    std::int64_t needed() const { return isGang ? 0 : promptTokens + maxTokens; }
};

/// A token made for an attempt in a step.
struct MadeToken
{
    std::string attempt;
    std::int64_t offset = 0;
    bool isLast = false;
};

/// Continuous batching in model time: finite KV memory, priorities and a prefix cache. No I/O.
class EngineModel
{
public:
    explicit EngineModel(EngineParameters parameters);

    /// False: the sequence is larger than the memory, or than what its gang has reserved.
    bool add(Sequence sequence);
    bool cancel(const std::string &attempt);
    /// Computes one step; answers with the tokens made.
    std::vector<MadeToken> step();
    /// Model time of the last step.
    base::Micros stepTime() const { return m_stepTime; }
    bool isIdle() const { return m_sequences.empty(); }

    KvMemory &memory() { return m_memory; }
    const KvMemory &memory() const { return m_memory; }
    PrefixCache &cache() { return m_cache; }
    const PrefixCache &cache() const { return m_cache; }
    std::size_t running() const;
    std::size_t waiting() const;
    std::int64_t queuedPromptTokens() const;
    const std::list<Sequence> &sequences() const { return m_sequences; }
    const Sequence *find(const std::string &attempt) const;
    /// Evicts cached blocks that used memory has displaced.
    void shrinkCache();

private:
    void admitWaiting();
    bool tryAdmit(Sequence &sequence);
    bool waitsLongerThan(const Sequence &sequence, base::Millis limit) const;
    std::int64_t prefill(Sequence &sequence, std::int64_t budget);
    void removeFinished();

    EngineParameters m_parameters;
    std::list<Sequence> m_sequences; ///< By priority, then arrival.
    KvMemory m_memory;
    PrefixCache m_cache;
    base::Micros m_stepTime{0};
    base::Micros m_clock{0};
};

} // namespace hyssop::standins
