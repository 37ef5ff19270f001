# Helpers that give every target of this project the same settings.

function(greengagehub_settings target scope)
  target_include_directories(${target} ${scope}
                             ${PROJECT_SOURCE_DIR}/include
                             ${PROJECT_SOURCE_DIR})
  target_compile_definitions(${target} ${scope} ASIO_STANDALONE)
  if(GREENGAGEHUB_SANITIZE)
    target_compile_options(${target} ${scope}
                           -fsanitize=${GREENGAGEHUB_SANITIZE})
    target_link_options(${target} ${scope}
                        -fsanitize=${GREENGAGEHUB_SANITIZE})
  endif()
endfunction()

function(greengagehub_warnings target)
  # GCC 12 takes the empty payload of a std::optional for uninitialised memory.
  target_compile_options(
    ${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor
                      -Woverloaded-virtual -Wno-maybe-uninitialized)
  if(GREENGAGEHUB_WARNINGS_AS_ERRORS)
    target_compile_options(${target} PRIVATE -Werror)
  endif()
endfunction()

# greengagehub_library(NAME [FOLDER F] LINKS ...): every .cpp in src/NAME or F.
function(greengagehub_library name)
  cmake_parse_arguments(ARG "" "FOLDER" "LINKS" ${ARGN})
  if(NOT ARG_FOLDER)
    set(ARG_FOLDER src/${name})
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${ARG_FOLDER}/*.cpp)
  add_library(greengagehub_${name} STATIC ${sources})
  greengagehub_settings(greengagehub_${name} PUBLIC)
  greengagehub_warnings(greengagehub_${name})
  target_link_libraries(greengagehub_${name} PUBLIC ${ARG_LINKS}
                                                    Threads::Threads)
endfunction()

# Committed output of protoc; its warnings are not ours.
function(greengagehub_wire)
  add_library(greengagehub_wire STATIC
              ${PROJECT_SOURCE_DIR}/generated/control.pb.cc
              ${PROJECT_SOURCE_DIR}/generated/link.pb.cc)
  target_include_directories(greengagehub_wire SYSTEM
                             PUBLIC ${PROJECT_SOURCE_DIR}/generated)
  target_link_libraries(greengagehub_wire PUBLIC PkgConfig::PROTOBUF)
endfunction()

# greengagehub_program(NAME SOURCES... LINKS ...)
function(greengagehub_program name)
  cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
  add_executable(${name} ${ARG_UNPARSED_ARGUMENTS})
  greengagehub_settings(${name} PRIVATE)
  greengagehub_warnings(${name})
  target_link_libraries(${name} PRIVATE ${ARG_LINKS})
endfunction()
