#pragma once

#include "base/Base.h"

#include <tclap/CmdLine.h>

#include <memory>

namespace hyssop::base {

/// Flags and words of a command line, as TCLAP reads them; values are not checked here.
class CommandLine
{
public:
    CommandLine(const std::string &description, const std::string &version);

    /// A toggle takes no value.
    void add(const std::string &flag, const std::string &help, const std::string &shape,
             bool isToggle);
    /// Accepts words after the flags.
    void addWords(const std::string &help);

    /// Empty when all could be read; help and version are shown on the way.
    std::optional<SettingsError> parse(int argc, const char *const *argv);

    /// Value of a flag that was given; "true" of a toggle.
    std::optional<std::string> value(const std::string &flag) const;
    std::vector<std::string> words() const;

private:
    TCLAP::CmdLine m_line;
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> m_values;
    std::vector<std::unique_ptr<TCLAP::SwitchArg>> m_toggles;
    std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> m_words;
};

} // namespace hyssop::base
