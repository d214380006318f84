# Options that every target of the workspace shares.
add_library(lagoonsaddle_options INTERFACE)
target_include_directories(lagoonsaddle_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_compile_options(lagoonsaddle_options INTERFACE -Wall -Wextra -Wpedantic $<$<CXX_COMPILER_ID:GNU>:-Wshadow=local>)
# g++ 12 reports the frames of coroutines that it inlines as mismatched.
target_compile_options(lagoonsaddle_options INTERFACE $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
# Boost.Asio 1.74 uses std::exchange without including its header.
target_compile_options(lagoonsaddle_options INTERFACE -include utility)
# clang-tidy 16 does not detect coroutine support of Boost.Asio 1.74 by itself.
target_compile_definitions(lagoonsaddle_options INTERFACE
    BOOST_ASIO_HAS_CO_AWAIT BOOST_ASIO_HAS_STD_COROUTINE BOOST_ASIO_NO_DEPRECATED MSGPACK_NO_BOOST
    LAGOONSADDLE_VERSION="${PROJECT_VERSION}")
target_link_libraries(lagoonsaddle_options INTERFACE Threads::Threads Boost::headers nlohmann_json::nlohmann_json)

if(LAGOONSADDLE_SANITIZER)
    target_compile_options(lagoonsaddle_options INTERFACE -fsanitize=${LAGOONSADDLE_SANITIZER} -fno-omit-frame-pointer)
    target_link_options(lagoonsaddle_options INTERFACE -fsanitize=${LAGOONSADDLE_SANITIZER})
endif()

# Adds the static library lagoonsaddle_<module> from the sources of the current folder.
function(lagoonsaddle_library module)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    set(target lagoonsaddle_${module})
    if(arg_SOURCES)
        add_library(${target} STATIC ${arg_SOURCES})
        set(scope PUBLIC)
    else()
        add_library(${target} INTERFACE)
        set(scope INTERFACE)
    endif()
    target_link_libraries(${target} ${scope} lagoonsaddle_options ${arg_DEPENDS})
endfunction()

# Adds the doctest executable test_<name> and registers it with CTest; ARGUMENTS are passed to the executable.
function(lagoonsaddle_test name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS;LABELS;ARGUMENTS" ${ARGN})
    add_executable(test_${name} ${arg_SOURCES})
    target_link_libraries(test_${name} PRIVATE lagoonsaddle_test_main ${arg_DEPENDS})
    add_test(NAME ${name} COMMAND test_${name} ${arg_ARGUMENTS})
    if(arg_LABELS)
        set_tests_properties(${name} PROPERTIES LABELS "${arg_LABELS}")
    endif()
endfunction()
