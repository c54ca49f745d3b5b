#pragma once

#include "replog/Replog.h"

namespace hyssop::replog {

/// Error of the last system call (errno), with \a action as context.
StorageError systemError(const std::string &action);

/// A file open for appending; owns its descriptor.
class AppendFile
{
public:
    AppendFile() = default;
    ~AppendFile() { close(); }
    AppendFile(const AppendFile &) = delete;
    AppendFile &operator=(const AppendFile &) = delete;

    tl::expected<void, StorageError> open(const std::filesystem::path &path);
    tl::expected<void, StorageError> write(std::string_view bytes);
    tl::expected<void, StorageError> sync();
    /// Truncates the file to \a size bytes and syncs it.
    tl::expected<void, StorageError> truncate(std::size_t size);
    void close();
    std::size_t size() const { return m_size; }

private:
    std::filesystem::path m_path;
    int m_fd = -1;
    std::size_t m_size = 0;
};

tl::expected<std::string, StorageError> readFile(const std::filesystem::path &path);
tl::expected<void, StorageError> syncFolder(const std::filesystem::path &path);
/// Replaces a file atomically: writes and syncs a temporary file, renames it, syncs the folder.
tl::expected<void, StorageError> replaceFile(const std::filesystem::path &path,
                                             std::string_view bytes);

} // namespace hyssop::replog
