# Links the archives of packages in place of their shared libraries: each shared library lengthens the start of a process,
# in which a signal still ends it.

# Lets an imported target link the archive of its library, if the package has one. ARGN: what the archive needs.
function(lagoonsaddle_prefer_archive target name)
    find_library(LAGOONSADDLE_ARCHIVE_${name} NAMES lib${name}.a)
    mark_as_advanced(LAGOONSADDLE_ARCHIVE_${name})
    if(NOT LAGOONSADDLE_ARCHIVE_${name})
        message(STATUS "No archive of ${name}: its shared library is linked")
        return()
    endif()
    get_target_property(configurations ${target} IMPORTED_CONFIGURATIONS)
    foreach(configuration IN LISTS configurations)
        set_target_properties(${target} PROPERTIES IMPORTED_LOCATION_${configuration} ${LAGOONSADDLE_ARCHIVE_${name}})
    endforeach()
    set_target_properties(${target} PROPERTIES INTERFACE_LINK_LIBRARIES "${ARGN}")
endfunction()
