# Every folder below src/bamboomoor is one static library, bamboomoor_<folder>, of all its .cpp files.
# DEPENDS names other modules or imported targets.
function(bamboomoor_library name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
    if(sources)
        add_library(bamboomoor_${name} STATIC ${sources})
        target_include_directories(bamboomoor_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
        target_link_libraries(bamboomoor_${name} PUBLIC ${ARG_DEPENDS})
    else()
        add_library(bamboomoor_${name} INTERFACE)
        target_include_directories(bamboomoor_${name} INTERFACE ${PROJECT_SOURCE_DIR}/src)
        target_link_libraries(bamboomoor_${name} INTERFACE ${ARG_DEPENDS})
    endif()
endfunction()

# One Boost.Test program per library, test_<name>, of all .cpp files of the folder. Fuzz targets in it use
# RapidCheck with the fixed seed below; RC_PARAMS set by hand replaces it.
function(bamboomoor_test name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(test_${name} ${sources})
    target_include_directories(test_${name} PRIVATE ${PROJECT_SOURCE_DIR}/test)
    target_compile_definitions(test_${name} PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(test_${name} PRIVATE ${ARG_DEPENDS} Boost::unit_test_framework rapidcheck)
    add_test(NAME ${name} COMMAND test_${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()

# Adds every folder below the current one that has a CMakeLists.txt.
function(bamboomoor_add_folders)
    file(GLOB lists CONFIGURE_DEPENDS RELATIVE ${CMAKE_CURRENT_SOURCE_DIR} ${CMAKE_CURRENT_SOURCE_DIR}/*/CMakeLists.txt)
    foreach(list ${lists})
        get_filename_component(folder ${list} DIRECTORY)
        add_subdirectory(${folder})
    endforeach()
endfunction()
