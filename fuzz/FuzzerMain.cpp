#include "Targets.h"

#include <cstdint>
#include <cstdlib>

/// Entry point of libFuzzer; the program is built once for each target.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const hyssop::fuzz::Target *target = [] {
        for (const hyssop::fuzz::Target &it : hyssop::fuzz::targets()) {
            if (it.name == HYSSOP_FUZZ_TARGET)
                return &it;
        }
        std::abort();
    }();
    if (!target->holds({reinterpret_cast<const char *>(data), size}))
        std::abort();
    return 0;
}
