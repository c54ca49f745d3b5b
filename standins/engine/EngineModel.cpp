#include "EngineModel.h"

#include <algorithm>

namespace hyssop::standins {

EngineModel::EngineModel(EngineParameters parameters)
    : m_parameters(parameters)
    , m_memory(parameters.kvTokens)
{ }

bool EngineModel::add(Sequence sequence)
{
    const std::int64_t size = sequence.promptTokens + sequence.maxTokens;
    if (sequence.isGang) {
        const Reservation *reservation = m_memory.reservation(sequence.attempt);
        if (!reservation || !reservation->isHeld() || reservation->gangTokens < size)
            return false;
    } else if (size > m_parameters.kvTokens) {
        return false;
    }
    const auto later = std::find_if(m_sequences.begin(), m_sequences.end(), [&](const auto &it) {
        return it.priority > sequence.priority;
    });
    m_sequences.insert(later, std::move(sequence));
    return true;
}

const Sequence *EngineModel::find(const std::string &attempt) const
{
    const auto it = std::find_if(m_sequences.begin(), m_sequences.end(),
                                 [&](const auto &one) { return one.attempt == attempt; });
    return it == m_sequences.end() ? nullptr : &*it;
}

bool EngineModel::cancel(const std::string &attempt)
{
    const auto it = std::find_if(m_sequences.begin(), m_sequences.end(),
                                 [&](const auto &one) { return one.attempt == attempt; });
    if (it == m_sequences.end())
        return false;
    if (it->isRunning)
        m_memory.give(it->needed());
    m_sequences.erase(it);
    return true;
}

bool EngineModel::waitsLongerThan(const Sequence &sequence, base::Millis limit) const
{
    return sequence.blockedSince && m_clock - *sequence.blockedSince >= limit;
}

bool EngineModel::tryAdmit(Sequence &sequence)
{
    if (!m_memory.take(sequence.needed())) {
        if (!sequence.blockedSince)
            sequence.blockedSince = m_clock;
        return false;
    }
    const std::int64_t cached = m_cache.prefixOf(sequence.blocks);
    sequence.prefilled = std::clamp<std::int64_t>(cached, 0, sequence.promptTokens - 1);
    sequence.isRunning = true;
    sequence.blockedSince.reset();
    shrinkCache();
    return true;
}

void EngineModel::admitWaiting()
{
    std::size_t batch = running();
    // One that has waited too long for memory goes before everything.
    for (Sequence &sequence : m_sequences) {
        if (!sequence.isRunning && waitsLongerThan(sequence, m_parameters.maxUrgentBypass)) {
            if (batch < m_parameters.maxBatch)
                tryAdmit(sequence);
            return;
        }
    }
    for (Sequence &sequence : m_sequences) {
        if (sequence.isRunning)
            continue;
        if (batch >= m_parameters.maxBatch)
            return;
        if (tryAdmit(sequence))
            ++batch;
        else if (waitsLongerThan(sequence, m_parameters.maxBypass))
            return;
    }
}

std::int64_t EngineModel::prefill(Sequence &sequence, std::int64_t budget)
{
    const std::int64_t n = std::min(budget, sequence.promptTokens - sequence.prefilled);
    sequence.prefilled += n;
    // A gang's prompt is spread over its engines and cached at none.
    if (sequence.prefilled == sequence.promptTokens && !sequence.isGang)
        m_cache.remember(sequence.blocks, m_memory.free());
    return n;
}

std::vector<MadeToken> EngineModel::step()
{
    admitWaiting();
    std::vector<MadeToken> made;
    std::int64_t computed = 0;
    for (Sequence &sequence : m_sequences) {
        if (!sequence.isRunning)
            continue;
        if (sequence.prefilled < sequence.promptTokens) {
            computed += prefill(sequence, m_parameters.chunkTokens - computed);
            if (sequence.prefilled < sequence.promptTokens)
                continue;
        }
        const std::int64_t offset = sequence.generated++;
        made.push_back({sequence.attempt, offset, sequence.generated == sequence.maxTokens});
    }
    removeFinished();
    const double seconds = static_cast<double>(computed) / m_parameters.prefillTokensPerSecond;
    m_stepTime = m_parameters.stepBase + base::Micros(static_cast<std::int64_t>(seconds * 1e6));
    m_clock += m_stepTime;
    return made;
}

void EngineModel::removeFinished()
{
    for (auto it = m_sequences.begin(); it != m_sequences.end();) {
        if (!it->isRunning || it->generated < it->maxTokens) {
            ++it;
            continue;
        }
        m_memory.give(it->needed());
        it = m_sequences.erase(it);
    }
}

void EngineModel::shrinkCache()
{
    m_cache.shrinkTo(m_memory.free());
}

std::size_t EngineModel::running() const
{
    return static_cast<std::size_t>(std::count_if(m_sequences.begin(), m_sequences.end(),
                                                  [](const auto &it) { return it.isRunning; }));
}

std::size_t EngineModel::waiting() const
{
    return m_sequences.size() - running();
}

std::int64_t EngineModel::queuedPromptTokens() const
{
    std::int64_t tokens = 0;
    for (const Sequence &sequence : m_sequences)
        tokens += sequence.promptTokens - sequence.prefilled;
    return tokens;
}

} // namespace hyssop::standins
