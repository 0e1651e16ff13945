#pragma once

#include <exception>
#include <iostream>

namespace limpetpier {

// Exit status of a program that failed to start, for example because of an invalid setting.
constexpr int exitCannotStart = 2;

// Implements main(): calls run and returns its exit status. Prints an exception that run throws to standard error and
// returns exitCannotStart.
//
//     int main(int argc, char** argv) { return limpetpier::runProgram("limpet-front", limpetpier::run, argc, argv); }
inline int runProgram(const char* name, int (*run)(int, char**), int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << name << ": " << error.what() << "\n";
        return exitCannotStart;
    }
}

} // namespace limpetpier
