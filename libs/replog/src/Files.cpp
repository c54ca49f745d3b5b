#include "Files.h"

#include <fmt/format.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace hyssop::replog {

StorageError systemError(const std::string &action)
{
    const bool isFull = errno == ENOSPC || errno == EDQUOT || errno == EFBIG;
    const StorageFault fault = isFull ? StorageFault::NoSpace : StorageFault::Failed;
    return {fault, fmt::format("{}: {}", action, std::strerror(errno))};
}

tl::expected<void, StorageError> AppendFile::open(const std::filesystem::path &path)
{
    close();
    m_path = path;
    m_fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (m_fd < 0)
        return tl::unexpected(systemError("cannot open " + path.string()));
    const auto end = ::lseek(m_fd, 0, SEEK_END);
    if (end < 0)
        return tl::unexpected(systemError("cannot read the size of " + path.string()));
    m_size = static_cast<std::size_t>(end);
    return {};
}

tl::expected<void, StorageError> AppendFile::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::write(m_fd, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return tl::unexpected(systemError("cannot write " + m_path.string()));
        bytes.remove_prefix(static_cast<std::size_t>(n));
        m_size += static_cast<std::size_t>(n);
    }
    return {};
}

tl::expected<void, StorageError> AppendFile::sync()
{
    if (::fdatasync(m_fd) == 0)
        return {};
    // Another sync may succeed without having written what this one lost, so this fault does not
    // pass, even if the disk is only full.
    StorageError error = systemError("cannot sync " + m_path.string());
    error.fault = StorageFault::Failed;
    return tl::unexpected(std::move(error));
}

tl::expected<void, StorageError> AppendFile::truncate(std::size_t size)
{
    if (::ftruncate(m_fd, static_cast<off_t>(size)) != 0 || ::fsync(m_fd) != 0)
        return tl::unexpected(
                systemError("cannot truncate the incomplete end of " + m_path.string()));
    m_size = size;
    return {};
}

void AppendFile::close()
{
    if (m_fd >= 0)
        ::close(m_fd);
    m_fd = -1;
}

tl::expected<std::string, StorageError> readFile(const std::filesystem::path &path)
{
    const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0)
        return tl::unexpected(systemError("cannot open " + path.string()));
    std::string data;
    std::array<char, 65536> buf{};
    ssize_t n = 0;
    while ((n = ::read(fd, buf.data(), buf.size())) > 0)
        data.append(buf.data(), static_cast<std::size_t>(n));
    const auto error = systemError("cannot read " + path.string());
    ::close(fd);
    if (n < 0)
        return tl::unexpected(error);
    return data;
}

tl::expected<void, StorageError> syncFolder(const std::filesystem::path &path)
{
    const int fd = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0)
        return tl::unexpected(systemError("cannot open " + path.string()));
    const bool isSynced = ::fsync(fd) == 0;
    const auto error = systemError("cannot sync " + path.string());
    ::close(fd);
    if (!isSynced)
        return tl::unexpected(error);
    return {};
}

tl::expected<void, StorageError> replaceFile(const std::filesystem::path &path,
                                             std::string_view bytes)
{
    const std::filesystem::path temporary = path.string() + ".tmp";
    std::error_code ec;
    std::filesystem::remove(temporary, ec);
    AppendFile file;
    if (const auto opened = file.open(temporary); !opened)
        return opened;
    if (const auto written = file.write(bytes); !written)
        return written;
    if (const auto synced = file.sync(); !synced)
        return synced;
    file.close();
    if (::rename(temporary.c_str(), path.c_str()) != 0)
        return tl::unexpected(systemError("cannot rename " + temporary.string()));
    return syncFolder(path.parent_path());
}

} // namespace hyssop::replog
