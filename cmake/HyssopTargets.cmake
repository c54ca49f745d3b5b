# Helpers that keep each library's own CMakeLists.txt to a few lines.

set(HYSSOP_WARNINGS -Wall -Wextra -Werror)

# A sanitizer's report ends the process that it is about, so that the test sees it.
set(HYSSOP_TEST_ENVIRONMENT
    "RC_PARAMS=seed=20261203"
    "UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1"
    "TSAN_OPTIONS=halt_on_error=1:suppressions=${CMAKE_SOURCE_DIR}/cmake/tsan.supp")

# hyssop_test(NAME COMMAND SECONDS): a test and its time limit. Properties are the same on every
# run; rapidcheck prints the seed it was given.
function(hyssop_test NAME COMMAND SECONDS)
    add_test(NAME ${NAME} COMMAND ${COMMAND} ${ARGN})
    set_tests_properties(${NAME} PROPERTIES
        ENVIRONMENT "${HYSSOP_TEST_ENVIRONMENT}" TIMEOUT ${SECONDS})
endfunction()

# hyssop_library(NAME SOURCES ... DEPENDS ...): a library with include/NAME/ and its test program.
function(hyssop_library NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;TESTS" ${ARGN})
    add_library(hyssop-${NAME} STATIC ${ARG_SOURCES})
    target_include_directories(hyssop-${NAME} PUBLIC include PRIVATE src)
    target_compile_options(hyssop-${NAME} PRIVATE ${HYSSOP_WARNINGS})
    target_link_libraries(hyssop-${NAME} PUBLIC ${ARG_DEPENDS})
    if(ARG_TESTS)
        add_executable(test-${NAME} ${ARG_TESTS})
        target_include_directories(test-${NAME} PRIVATE src)
        target_compile_options(test-${NAME} PRIVATE ${HYSSOP_WARNINGS})
        target_link_libraries(test-${NAME} PRIVATE hyssop-${NAME} hyssop-testmain rapidcheck)
        hyssop_test(${NAME} test-${NAME} 300)
    endif()
endfunction()

# hyssop_program(NAME SOURCES ... DEPENDS ...): one of the binaries.
function(hyssop_program NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${NAME} ${ARG_SOURCES})
    target_compile_options(${NAME} PRIVATE ${HYSSOP_WARNINGS})
    target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS})
    set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# hyssop_program_test(NAME SOURCES ... TESTS ... DEPENDS ...): a test program for those parts of a
# binary that do no I/O.
function(hyssop_program_test NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;TESTS;DEPENDS" ${ARGN})
    add_executable(test-${NAME} ${ARG_SOURCES} ${ARG_TESTS})
    target_include_directories(test-${NAME} PRIVATE .)
    target_compile_options(test-${NAME} PRIVATE ${HYSSOP_WARNINGS})
    target_link_libraries(test-${NAME} PRIVATE ${ARG_DEPENDS} hyssop-testmain rapidcheck)
    hyssop_test(${NAME} test-${NAME} 300)
endfunction()
