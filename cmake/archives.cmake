# Links the archives of packages in place of their shared libraries: each shared library lengthens the start of a process,
# in which a signal still ends it.
include(CheckCXXSourceCompiles)

# Lets an imported target link the archive of its library, if the package has one.
# PROGRAM: source text that uses the library, linked when the build is configured.
# DEPENDS: what the archive needs on every machine. OPTIONAL: libraries that it needs only where the package is built with them.
function(lagoonsaddle_prefer_archive target name)
    cmake_parse_arguments(PARSE_ARGV 2 arg "" "PROGRAM" "DEPENDS;OPTIONAL")
    find_library(LAGOONSADDLE_ARCHIVE_${name} NAMES lib${name}.a)
    mark_as_advanced(LAGOONSADDLE_ARCHIVE_${name})
    if(NOT LAGOONSADDLE_ARCHIVE_${name})
        message(STATUS "No archive of ${name}: its shared library is linked")
        return()
    endif()
    set(depends ${arg_DEPENDS})
    _lagoonsaddle_check_archive(LAGOONSADDLE_ARCHIVE_${name}_LINKS)
    if(NOT LAGOONSADDLE_ARCHIVE_${name}_LINKS AND arg_OPTIONAL)
        list(APPEND depends ${arg_OPTIONAL})
        _lagoonsaddle_check_archive(LAGOONSADDLE_ARCHIVE_${name}_LINKS_WITH_OPTIONAL)
    endif()
    if(NOT LAGOONSADDLE_ARCHIVE_${name}_LINKS AND NOT LAGOONSADDLE_ARCHIVE_${name}_LINKS_WITH_OPTIONAL)
        message(FATAL_ERROR "${LAGOONSADDLE_ARCHIVE_${name}} links neither with \"${arg_DEPENDS}\" alone nor with \"${arg_OPTIONAL}\" besides")
    endif()
    get_target_property(configurations ${target} IMPORTED_CONFIGURATIONS)
    foreach(configuration IN LISTS configurations)
        set_target_properties(${target} PROPERTIES IMPORTED_LOCATION_${configuration} ${LAGOONSADDLE_ARCHIVE_${name}})
    endforeach()
    set_target_properties(${target} PROPERTIES INTERFACE_LINK_LIBRARIES "${depends}")
endfunction()

# Sets the variable that \a result names to whether the program of the caller links with the archive and the libraries in `depends`.
macro(_lagoonsaddle_check_archive result)
    get_target_property(CMAKE_REQUIRED_INCLUDES ${target} INTERFACE_INCLUDE_DIRECTORIES)
    if(NOT CMAKE_REQUIRED_INCLUDES)
        set(CMAKE_REQUIRED_INCLUDES)
    endif()
    set(CMAKE_REQUIRED_LIBRARIES ${LAGOONSADDLE_ARCHIVE_${name}} ${depends} Threads::Threads)
    check_cxx_source_compiles("${arg_PROGRAM}" ${result})
endmacro()
