// Command-line client for operators.
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include <lagoonsaddle/operate/command_line.hpp>

int main(int argc, char** argv) {
    try {
        const std::vector<std::string> arguments(argv + 1, argv + argc);
        return static_cast<int>(lagoonsaddle::operate::command_line{std::cout, std::cerr}.run(arguments));
    } catch(const std::exception& error) {
        std::cerr << "lagoonsaddle: internal error: " << error.what() << '\n';
        return static_cast<int>(lagoonsaddle::operate::exit_code::failed);
    }
}
