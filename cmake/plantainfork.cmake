# Dependencies, warnings and the helpers that every folder's CMakeLists.txt uses.

find_program(PLANTAINFORK_CCACHE ccache)
if(PLANTAINFORK_CCACHE)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1 ${PLANTAINFORK_CCACHE})
endif()

find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS system thread log)
find_package(absl REQUIRED)
find_package(docopt REQUIRED)
find_package(tomlplusplus REQUIRED)
find_package(nlohmann_json REQUIRED)
find_library(NGHTTP2_LIBRARY nghttp2 REQUIRED)
find_library(URCU_BP_LIBRARY urcu-bp REQUIRED)
find_library(URCU_COMMON_LIBRARY urcu-common REQUIRED)

add_library(plantainfork_options INTERFACE)
target_compile_options(plantainfork_options INTERFACE -Wall -Wextra -Wshadow -Werror)
# g++ 12 takes Asio's own operator delete of a coroutine frame for a mismatch when it inlines the ramp function.
target_compile_options(plantainfork_options INTERFACE -Wno-mismatched-new-delete)
# g++ 12 at -O3 reports impossible overlaps inside std::string's concatenation (its bug 105329); the other build types keep the check.
target_compile_options(plantainfork_options INTERFACE $<$<AND:$<CONFIG:Release>,$<CXX_COMPILER_ID:GNU>,$<VERSION_LESS:$<CXX_COMPILER_VERSION>,13>>:-Wno-restrict>)
# Boost 1.74's awaitable.hpp uses std::exchange without including its header, which g++ 12 needs.
target_compile_options(plantainfork_options INTERFACE "SHELL:-include utility")
target_compile_definitions(plantainfork_options INTERFACE
    BOOST_LOG_DYN_LINK
    BOOST_ASIO_NO_DEPRECATED
    MSGPACK_NO_BOOST
    PLANTAINFORK_VERSION="${PROJECT_VERSION}")
target_include_directories(plantainfork_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(plantainfork_options INTERFACE Threads::Threads)
if(CMAKE_CXX_COMPILER_ID STREQUAL "Clang")
    # Asio 1.74 looks for coroutines of clang in <experimental/coroutine> only.
    target_compile_definitions(plantainfork_options INTERFACE BOOST_ASIO_HAS_CO_AWAIT BOOST_ASIO_HAS_STD_COROUTINE)
endif()
if(PLANTAINFORK_SANITIZE)
    target_compile_options(plantainfork_options INTERFACE -fsanitize=${PLANTAINFORK_SANITIZE} -fno-omit-frame-pointer)
    target_link_options(plantainfork_options INTERFACE -fsanitize=${PLANTAINFORK_SANITIZE})
    if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
        # g++ warns that the thread sanitizer doesn't follow the fences in Asio; their locks it does follow.
        target_compile_options(plantainfork_options INTERFACE -Wno-tsan)
    endif()
    if(CMAKE_CXX_COMPILER_ID STREQUAL "Clang")
        # clang 14 can't assemble coroutines with this check ("Cannot represent a difference across sections").
        target_compile_options(plantainfork_options INTERFACE -fno-sanitize=function)
    endif()
endif()

# plantainfork_library(NAME [SOURCES ...] [LINKS ...]): a static library of one subject.
function(plantainfork_library NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_library(${NAME} STATIC ${ARG_SOURCES})
    target_link_libraries(${NAME} PUBLIC plantainfork_options ${ARG_LINKS})
endfunction()

# plantainfork_program(NAME [SOURCES ...] [LINKS ...]): a program, placed in build/bin.
function(plantainfork_program NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_executable(${NAME} ${ARG_SOURCES})
    target_link_libraries(${NAME} PRIVATE plantainfork_options ${ARG_LINKS})
    set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# plantainfork_test(NAME [SOURCES ...] [LINKS ...] [PROPERTIES ...]): a Catch2 test program; each of its cases is a
# test of CTest with these properties, named "NAME:case", so that KNOWN-RED.txt can name a case.
function(plantainfork_test NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS;PROPERTIES" ${ARGN})
    add_executable(${NAME} ${ARG_SOURCES})
    target_link_libraries(${NAME} PRIVATE plantainfork_options plantainfork_test_main ${ARG_LINKS})
    set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
    catch_discover_tests(${NAME} TEST_PREFIX "${NAME}:" PROPERTIES ${ARG_PROPERTIES})
endfunction()
