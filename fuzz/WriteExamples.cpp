#include "Targets.h"

#include <filesystem>
#include <fstream>
#include <iostream>

/// Writes each target's examples into FOLDER/TARGET, as the seeds of a fuzz run, and names the
/// targets on standard output.
int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: fuzz-examples FOLDER\n";
        return 2;
    }
    for (const hyssop::fuzz::Target &target : hyssop::fuzz::targets()) {
        const std::filesystem::path folder = std::filesystem::path(argv[1]) / target.name;
        std::filesystem::create_directories(folder);
        int n = 0;
        for (const std::string &example : target.examples)
            std::ofstream(folder / std::to_string(++n), std::ios::binary) << example;
        std::cout << target.name << '\n';
    }
    return 0;
}
