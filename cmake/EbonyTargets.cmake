# Functions that declare the project's libraries, programs and tests.

if(EBONY_COMPILER_CACHE)
  find_program(EBONY_CCACHE ccache)
  if(EBONY_CCACHE)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${EBONY_CCACHE})
  endif()
endif()

add_library(ebony_options INTERFACE)
target_compile_options(ebony_options INTERFACE -Wall -Wextra -Werror)
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
  # GCC 12 warns of overlapping copies inside std::string that cannot occur.
  target_compile_options(ebony_options INTERFACE -Wno-restrict)
endif()
if(EBONY_SANITIZE)
  add_compile_options(-fsanitize=${EBONY_SANITIZE} -fno-omit-frame-pointer -O1)
  add_link_options(-fsanitize=${EBONY_SANITIZE})
  # In instrumented code GCC 12 falsely reports uninitialized values inside
  # Boost.Histogram and std::optional; the plain build keeps the warning enabled.
  add_compile_options(-Wno-maybe-uninitialized)
endif()

# ebony_add_library(NAME SOURCES file... LINKS target...)
function(ebony_add_library NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_library(${NAME} STATIC ${ARG_SOURCES})
  target_include_directories(${NAME} PUBLIC ${PROJECT_SOURCE_DIR}/src/libs)
  target_link_libraries(${NAME} PUBLIC ${ARG_LINKS} PRIVATE ebony_options)
endfunction()

# ebony_add_program(NAME SOURCES file... LINKS target...)
function(ebony_add_program NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_link_libraries(${NAME} PRIVATE ${ARG_LINKS} ebony_options)
  set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# Targets that build only the test binaries, for the sanitizer builds.
add_custom_target(ebony_tests)
add_custom_target(ebony_threaded_tests)

# ebony_add_tests(LIBRARY [THREADED] SOURCES file... LINKS target...)
# Each file contains one Boost.Test suite with the name of the file, which is registered as one CTest test.
# THREADED marks libraries with multi-threaded code; their tests also run under the thread sanitizer.
function(ebony_add_tests LIBRARY)
  cmake_parse_arguments(ARG "THREADED" "" "SOURCES;LINKS" ${ARGN})
  set(BINARY ${LIBRARY}_tests)
  add_executable(${BINARY} $<TARGET_OBJECTS:ebony_test_main> ${ARG_SOURCES})
  target_include_directories(${BINARY} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_compile_definitions(${BINARY} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${BINARY} PRIVATE ${LIBRARY} ${ARG_LINKS} Boost::unit_test_framework ebony_options)
  add_dependencies(ebony_tests ${BINARY})
  if(ARG_THREADED)
    add_dependencies(ebony_threaded_tests ${BINARY})
  endif()
  foreach(SOURCE ${ARG_SOURCES})
    get_filename_component(SUITE ${SOURCE} NAME_WE)
    if(SUITE MATCHES "test$")
      add_test(NAME ${LIBRARY}.${SUITE} COMMAND ${BINARY} --run_test=${SUITE} --report_level=short)
      if(ARG_THREADED)
        set_tests_properties(${LIBRARY}.${SUITE} PROPERTIES LABELS threaded)
      endif()
    endif()
  endforeach()
endfunction()
