# Builds into build/.  Targets: all (release), test, sanitize, proto, format,
# lint, install, clean.

VERSION := 0.1.0
BUILD ?= build
CC := gcc
PREFIX ?= /usr/local
DESTDIR ?=
PACKAGES := libtirpc glib-2.0 jansson libsodium libxxhash libcyaml \
            libmicrohttpd libcurl zlib

OPT ?= -O2 -g
SAN ?=
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
        -Wmissing-prototypes -Wno-unused-parameter
CPPFLAGS += -D_GNU_SOURCE -Iinclude -Isrc -I. -Itests \
            $(shell pkg-config --cflags $(PACKAGES))
CFLAGS += -std=gnu11 $(OPT) $(SAN) -pthread
LDLIBS += $(shell pkg-config --libs $(PACKAGES)) -lck -lm
LDFLAGS += $(SAN) -pthread

GENERATED := src/proto/cw_proto_xdr.c
CORE := $(filter-out $(GENERATED),$(wildcard src/base/*.c src/bundle/*.c \
        src/work/*.c src/routing/*.c src/replica/*.c src/entry/*.c \
        src/owner/*.c src/quorum/*.c src/placement/*.c src/relay/*.c src/log_analysis/*.c))
NET := $(wildcard src/http/*.c src/api/*.c platform/*.c)
PROGRAM := $(wildcard src/settings/*.c src/vm/*.c src/cli/*.c)
TESTS := $(patsubst tests/%.c,%,$(wildcard tests/test_*.c))

MODELS := $(filter-out emulator/emulator_main.c,$(wildcard emulator/*.c))

obj = $(patsubst %.c,$(BUILD)/obj/%.o,$(1))
CORE_OBJ := $(call obj,$(CORE) $(GENERATED))
NET_OBJ := $(call obj,$(NET))
PROGRAM_OBJ := $(call obj,$(PROGRAM))
BENCH_OBJ := $(call obj,$(wildcard tools/bench/*.c))

all: $(BUILD)/curlewcart $(BUILD)/curlewcart-bench \
     $(BUILD)/curlewcart-emulator $(BUILD)/curlewcart-platform \
     $(BUILD)/curlewcart-proxy

$(BUILD)/obj/src/proto/%.o: src/proto/%.c
	@mkdir -p $(dir $@)
	@$(CC) $(CPPFLAGS) $(CFLAGS) -w -MMD -MP -c $< -o $@

$(BUILD)/obj/%.o: %.c
	@mkdir -p $(dir $@)
	@$(CC) $(CPPFLAGS) $(CFLAGS) $(WARN) -MMD -MP -c $< -o $@

$(BUILD)/curlewcart: $(CORE_OBJ) $(NET_OBJ) $(PROGRAM_OBJ)
	@$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/curlewcart-platform: $(CORE_OBJ) $(NET_OBJ) \
                              $(call obj,$(MODELS)) \
                              $(call obj,$(wildcard standins/*.c))
	@$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/curlewcart-emulator: $(CORE_OBJ) $(call obj,$(MODELS)) \
                              $(BUILD)/obj/emulator/emulator_main.o
	@$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/curlewcart-proxy: $(CORE_OBJ) $(call obj,$(wildcard tools/proxy/*.c))
	@$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/curlewcart-bench: $(CORE_OBJ) $(BENCH_OBJ)
	@$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/tests/%: $(BUILD)/obj/tests/%.o $(CORE_OBJ) $(NET_OBJ) \
                  $(call obj,$(wildcard src/settings/*.c)) \
                  $(call obj,$(MODELS))
	@mkdir -p $(dir $@)
	@$(CC) $(LDFLAGS) $^ $(LDLIBS) -lcunit -o $@

tests: $(addprefix $(BUILD)/tests/,$(TESTS))

# Every test program prints its CUnit summary; the script adds them up.
test: tests
	scripts/run-tests $(BUILD)/tests

proto:
	rm -f src/proto/cw_proto.h src/proto/cw_proto_xdr.c
	cd src/proto && rpcgen -h -N -C -M -o cw_proto.h cw_proto.x && \
	    rpcgen -c -N -C -M -o cw_proto_xdr.c cw_proto.x

# libFuzzer over every parser that faces outside; needs clang.
parsers: $(BUILD)/curlewcart-parsers

$(BUILD)/curlewcart-parsers: tools/parsers/parsers_fuzz.c $(CORE) $(NET) \
                              $(GENERATED)
	@mkdir -p $(BUILD)
	@clang $(CPPFLAGS) -std=gnu11 -O1 -g -w \
	    -fsanitize=fuzzer,address,undefined $^ $(LDLIBS) -o $@

SOURCES := $(filter-out $(GENERATED),$(wildcard src/*/*.c src/*/*/*.c platform/*.c \
           standins/*.c tests/*.c tools/*/*.c emulator/*.c))
HEADERS := $(filter-out src/proto/%,$(wildcard include/curlewcart/*.h \
           src/*/internal/*.h platform/*.h platform/internal/*.h standins/*.h tests/*.h tools/*/*.h emulator/*.h emulator/internal/*.h))

format:
	clang-format -i $(SOURCES) $(HEADERS)

format-check:
	clang-format --dry-run --Werror $(SOURCES) $(HEADERS)

lint:
	@mkdir -p $(BUILD)
	@printf '%s\n' $(SOURCES) | xargs -P 8 -I{} clang-tidy --quiet \
	    --warnings-as-errors='*' {} -- $(CPPFLAGS) -std=gnu11 \
	    >$(BUILD)/lint.out 2>$(BUILD)/lint.err || \
	    { grep -E 'error|warning' $(BUILD)/lint.out; exit 1; }

install: $(BUILD)/curlewcart
	install -D -m 755 $(BUILD)/curlewcart $(DESTDIR)$(PREFIX)/bin/curlewcart
	install -D -m 644 docs/curlewcart.1 \
	    $(DESTDIR)$(PREFIX)/share/man/man1/curlewcart.1
	for f in examples/*.yaml; do install -D -m 644 $$f \
	    $(DESTDIR)$(PREFIX)/share/doc/curlewcart/$$f; done

clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

.PHONY: all tests test proto format format-check lint parsers install clean
.SECONDARY:
