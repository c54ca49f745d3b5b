#pragma once

#include "Addresses.h"
#include "Client.h"
#include "Process.h"

#include <map>

namespace hyssop::harness {

/// A fault-proxy process with one link for each pair (from, to) that was asked for.
class Faults
{
public:
    /// Address at which \a from is to reach \a to. All links are asked for before start().
    base::Endpoint link(const std::string &from, const std::string &to,
                        const base::Endpoint &target, Addresses &addresses);
    void start(Client *client, const std::filesystem::path &log, Addresses &addresses);
    /// The proxy; null before start().
    Process *process() const { return m_process.get(); }

    /// Sends an order to the links between two ends; an empty name stands for every end.
    void order(const std::string &from, const std::string &to, const nlohmann::json &order);
    /// Silent cut of both directions of the links between \a from and \a to.
    void cut(const std::string &from, const std::string &to);
    void heal(const std::string &from, const std::string &to);
    void healAll() { heal("", ""); }

private:
    struct Link
    {
        base::Endpoint listen;
        base::Endpoint target;
    };
    using Ends = std::pair<std::string, std::string>;

    std::vector<std::pair<Ends, Link>> m_links;
    Client *m_client = nullptr;
    base::Endpoint m_control;
    std::unique_ptr<Process> m_process;
};

} // namespace hyssop::harness
