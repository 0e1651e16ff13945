#pragma once

#include <exception>
#include <iostream>

namespace limpetpier {

// Exit code of a program that could not start, for example by a wrong setting.
constexpr int exitCannotStart = 2;

// Body of main(): runs the program and prints what kept it from running.
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
