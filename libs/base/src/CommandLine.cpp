#include "CommandLine.h"

namespace hyssop::base {

CommandLine::CommandLine(const std::string &description, const std::string &version)
    : m_line(description, ' ', version)
{
    m_line.setExceptionHandling(false);
}

void CommandLine::add(const std::string &flag, const std::string &help, const std::string &shape,
                      bool isToggle)
{
    if (isToggle)
        m_toggles.push_back(std::make_unique<TCLAP::SwitchArg>("", flag, help, m_line));
    else
        m_values.push_back(std::make_unique<TCLAP::ValueArg<std::string>>("", flag, help, false, "",
                                                                          shape, m_line));
}

void CommandLine::addWords(const std::string &help)
{
    m_words = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>("words", help, false, "word",
                                                                      m_line);
}

std::optional<SettingsError> CommandLine::parse(int argc, const char *const *argv)
{
    try {
        std::vector<std::string> args(argv, argv + argc);
        m_line.parse(args);
    } catch (const TCLAP::ExitException &) {
        return SettingsError{"", "", true};
    } catch (const TCLAP::ArgException &e) {
        return SettingsError{e.argId(), e.error()};
    }
    return std::nullopt;
}

std::optional<std::string> CommandLine::value(const std::string &flag) const
{
    for (const auto &it : m_values) {
        if (it->getName() == flag && it->isSet())
            return it->getValue();
    }
    for (const auto &it : m_toggles) {
        if (it->getName() == flag && it->isSet())
            return "true";
    }
    return std::nullopt;
}

std::vector<std::string> CommandLine::words() const
{
    return m_words ? m_words->getValue() : std::vector<std::string>();
}

} // namespace hyssop::base
