# Makefile - builds, checks and shows martentiller

CC = gcc
CXX = g++
WARN = -Wall -Wextra -Werror -Wshadow -Wno-unused-parameter -Wno-format-truncation
INCLUDES = -Isrc -Isrc/net -Isrc/relay -Isrc/gateway -Iplatform -Istandin -Ibench
CFLAGS = -std=gnu11 -O2 -g -D_GNU_SOURCE $(WARN) $(shell pkg-config --cflags lua5.4 2>/dev/null) $(INCLUDES)
CXXFLAGS = -std=c++17 -O1 -g $(WARN) $(shell pkg-config --cflags lua5.4 2>/dev/null) $(INCLUDES)
LDLIBS = -luv -lhttp_parser -lmsgpackc -ljansson -largtable2 -llua5.4 -lssl -lcrypto -lpthread -lm
# The pattern makes a read of an uninitialised local variable fail in every run.
SAN = -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer \
  -ftrivial-auto-var-init=pattern

B = build
DIRS = src src/net src/relay src/gateway platform
SRC = $(filter-out src/mtcli.c,$(foreach d,$(DIRS),$(wildcard $(d)/*.c)))
LIB = $(patsubst %.c,$(B)/%.o,$(notdir $(SRC)))
VPATH = $(DIRS)
STANDIN = $(patsubst standin/%.c,$(B)/%.o,$(wildcard standin/*.c))
BENCH = $(patsubst bench/%.c,$(B)/%.o,$(wildcard bench/*.c))
TESTS = $(patsubst tests/%.cc,$(B)/%.o,$(wildcard tests/*.cc))
DEPS = $(wildcard $(B)/*.d)
# For what alone includes the soak's headers.
ALONE = -Wno-unused-function -Wno-subobject-linkage

all: $(B)/martentiller $(B)/standin $(B)/bench

$(B)/martentiller: $(LIB) $(B)/mtcli.o
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(B)/standin: $(STANDIN) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(B)/bench: $(BENCH) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(B)/tests: $(TESTS) $(filter-out $(B)/bbmain.o,$(BENCH)) $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ -lgtest -lgtest_main $(LDLIBS)

$(B)/soak: tests/soak/soak.cc $(wildcard tests/soak/*.h) tests/gateway_world.h $(B)/soak-datagrams.so | $(B)
	$(CXX) $(CXXFLAGS) $(ALONE) $(LDFLAGS) -o $@ $< -lgtest -lcrypto -lpthread

# One test at a time, apart from other load. The gateways have no sanitizers:
# their boxes are limits of their address space.
$(B)/crowd: $(wildcard tests/crowd/*) tests/gateway_world.h | $(B)
	$(CXX) $(CXXFLAGS) $(ALONE) $(LDFLAGS) -o $@ $< -lgtest -lgtest_main -lcrypto -lpthread

# Processor time of the steps of a configuration change: not a test.
$(B)/steps: tests/steps/steps.cc $(LIB) | $(B)
	$(CXX) $(CXXFLAGS) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# Without sanitizers: it is loaded into gateways that have them.
$(B)/soak-datagrams.so: tests/soak/datagrams.c tests/soak/datagrams.h | $(B)
	$(CC) -std=gnu11 -O2 -D_GNU_SOURCE $(WARN) -shared -fPIC -o $@ $< -ldl

$(B)/%.o: %.c | $(B)
	$(CC) $(CFLAGS) -MMD -c -o $@ $<

$(B)/%.o: standin/%.c | $(B)
	$(CC) $(CFLAGS) -MMD -c -o $@ $<

$(B)/%.o: bench/%.c | $(B)
	$(CC) $(CFLAGS) -MMD -c -o $@ $<

$(B)/store_refusal_test.o $(B)/repeats_test.o $(B)/crashing_segment_test.o $(B)/engine_notices_test.o $(B)/stream_version_test.o $(B)/foreign_stream_test.o $(B)/out_of_step_test.o: $(B)/%.o: tests/%.cc | $(B)
	$(CXX) $(CXXFLAGS) $(ALONE) -MMD -c -o $@ $<

$(B)/%.o: tests/%.cc | $(B)
	$(CXX) $(CXXFLAGS) -MMD -c -o $@ $<

$(B):
	mkdir -p $(B)

# A header that is gone: what named it is built anew.
%.h: ;

-include $(DEPS)

deps:
	sh scripts/deps.sh

# Shows three routers serving a streamed answer. KEEP=1 leaves them up.
demo: deps
	$(MAKE) all
	$(B)/bench demo $(if $(KEEP),--keep 1)

# Tests that fail for a fault that is known and open: the first word of each
# line of KNOWN-RED.txt. They are printed and passed over, and no others.
KNOWN_RED = $(shell sed -n 's/^\([A-Za-z0-9/]*\.[A-Za-z0-9/]*\) .*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd: -)

# Builds with sanitizers and passes every test.
check: deps
	$(MAKE) -j$(shell nproc) B=build/san CFLAGS='$(CFLAGS) $(SAN) -O1' CXXFLAGS='$(CXXFLAGS) $(SAN)' LDFLAGS='$(SAN)' \
	  build/san/martentiller build/san/standin build/san/tests build/san/soak
	@echo "The parts, with leaks detected; then the fleet, whose processes end by signals."
	MT_BIN=build/san ASAN_OPTIONS=detect_leaks=1 LSAN_OPTIONS=suppressions=tests/lsan.supp:print_suppressions=0 \
	  build/san/tests --gtest_filter=-Fleet.*:$(KNOWN_RED)
	@if [ -s KNOWN-RED.txt ]; then echo "Known to fail, not played:"; cat KNOWN-RED.txt; fi
	MT_BIN=build/san ASAN_OPTIONS=detect_leaks=0 build/san/tests --gtest_filter=Fleet.*
	@echo "A short soak: gateways under faults from outside, by seeds."
	build/san/soak --selftest
	MT_BIN=build/san ASAN_OPTIONS=detect_leaks=0 build/san/soak --seeds tests/soak/seeds.txt --seconds 4
	MT_BIN=build/san ASAN_OPTIONS=detect_leaks=0 build/san/soak --seeds tests/soak/parts.txt --parts --gateways 12 \
	  --callers 30 --seconds 8
	MT_BIN=build/san ASAN_OPTIONS=detect_leaks=0 build/san/soak --seeds tests/soak/repeats.txt --parts --deadly \
	  --gateways 12 --callers 30 --seconds 10
	MT_BIN=build/san ASAN_OPTIONS=detect_leaks=0 build/san/soak --seeds tests/soak/segments.txt --segment 1 --streams \
	  --power-cut --calm --gateways 12 --callers 30 --seconds 14
	MT_BIN=build/san ASAN_OPTIONS=detect_leaks=0 build/san/soak --seeds tests/soak/notices.txt --parts --notices \
	  --gateways 12 --callers 30 --seconds 8
	MT_BIN=build/san ASAN_OPTIONS=detect_leaks=0 build/san/soak --seeds tests/soak/restores.txt --parts --restores \
	  --gateways 12 --callers 30 --seconds 12
	MT_BIN=build/san ASAN_OPTIONS=detect_leaks=0 build/san/soak --seeds tests/soak/versions.txt --parts --versions \
	  --gateways 8 --callers 20 --seconds 10
	MT_BIN=build/san ASAN_OPTIONS=detect_leaks=0 build/san/soak --seeds tests/soak/cuts.txt --cuts --calm --unframed \
	  --gateways 6 --callers 20 --seconds 14
	MT_BIN=build/san ASAN_OPTIONS=detect_leaks=0 build/san/soak --seeds tests/soak/silences.txt --silences \
	  --gateways 4 --callers 48 --seconds 10
	MT_BIN=build/san ASAN_OPTIONS=detect_leaks=0 build/san/soak --seeds tests/soak/rests.txt --rests \
	  --gateways 4 --callers 100 --seconds 10
	MT_BIN=build/san ASAN_OPTIONS=detect_leaks=0 build/san/soak --seeds tests/soak/invalid.txt --invalid 0.5 \
	  --gateways 4 --callers 24 --seconds 10

# Clients outside the limits before real gateways.
crowd: deps
	$(MAKE) $(B)/martentiller $(B)/crowd
	MT_BIN=$(B) $(B)/crowd --gtest_filter=-$(KNOWN_RED)

# What the users' platform builds: the program alone, under target/.
release:
	$(MAKE) -j8 B=target target/martentiller

# Faults from outside, by seeds; a longer run: build/soak --seed N --count 50
soak: all $(B)/soak
	$(B)/soak --selftest
	MT_BIN=$(B) $(B)/soak --seeds tests/soak/seeds.txt --seconds 4
	MT_BIN=$(B) $(B)/soak --seeds tests/soak/parts.txt --parts --times --gateways 12 --callers 30 --seconds 30
	MT_BIN=$(B) $(B)/soak --seeds tests/soak/repeats.txt --parts --deadly --times --gateways 12 --callers 30 --seconds 30
	MT_BIN=$(B) $(B)/soak --seeds tests/soak/segments.txt --segment 1 --streams --power-cut --calm --times --gateways 12 --callers 40 --seconds 30
	MT_BIN=$(B) $(B)/soak --seeds tests/soak/segments.txt --segment 0 --unframed --calm --times --gateways 12 --callers 40 --seconds 18
	MT_BIN=$(B) $(B)/soak --seeds tests/soak/notices.txt --notices --calm --times --gateways 12 --callers 30 --seconds 30
	MT_BIN=$(B) $(B)/soak --seeds tests/soak/restores.txt --restores --calm --times --gateways 12 --callers 30 --seconds 28
	MT_BIN=$(B) $(B)/soak --seeds tests/soak/versions.txt --parts --versions --gateways 12 --callers 30 --seconds 30
	MT_BIN=$(B) $(B)/soak --seeds tests/soak/cuts.txt --cuts --gateways 6 --callers 40 --seconds 40
	MT_BIN=$(B) $(B)/soak --seeds tests/soak/silences.txt --silences --gateways 12 --engines 20 --callers 96 --seconds 30
	MT_BIN=$(B) $(B)/soak --seeds tests/soak/rests.txt --rests --gateways 12 --callers 400 --seconds 30
	MT_BIN=$(B) $(B)/soak --seeds tests/soak/invalid.txt --invalid 0.25 --versions --gateways 12 --callers 24 --seconds 30
	MT_BIN=$(B) $(B)/soak --seeds tests/soak/invalid.txt --invalid 0.5 --silences --gateways 12 --engines 20 --callers 96 --seconds 30

bench: all
	sh scripts/bench.sh

spec:
	sh spec/run.sh

FUZZRUNS = 20000
FUZZFLAGS = -std=gnu11 -O1 -g -D_GNU_SOURCE -Isrc -Isrc/relay -Wno-format-truncation \
  $(shell pkg-config --cflags lua5.4 2>/dev/null) -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=all
FUZZSRC = $(wildcard tests/fuzz/*.c) $(addprefix src/relay/,event_check.c event_stream.c) \
  $(addprefix src/,mtmem.c mtlog.c mtcount.c mtjson.c mtset.c mtfleet.c mtmsg.c \
  mtcrypt.c mtpolicy.c mtcost.c mtmember.c mtledger.c mtsched.c mtqueue.c mtedge.c mtconf.c mtcore.c)

$(B)/fuzz: $(FUZZSRC) $(wildcard tests/fuzz/*.h) | $(B)
	clang $(FUZZFLAGS) -o $@ $(FUZZSRC) -lmsgpackc -ljansson -llua5.4 -lcrypto -lm

# A short run from the committed corpus, the same every time.
fuzzcheck: $(B)/fuzz
	rm -rf $(B)/corpus && mkdir -p $(B)/corpus
	$(B)/fuzz -runs=$(FUZZRUNS) -seed=1 -max_len=4096 -timeout=20 -print_final_stats=0 -verbosity=0 $(B)/corpus tests/corpus

# A long one; what it finds goes to tests/corpus with its fix.
fuzz: $(B)/fuzz
	mkdir -p $(B)/corpus
	$(B)/fuzz -max_total_time=600 -max_len=8192 $(B)/corpus tests/corpus

FORMATTED = $(wildcard $(addsuffix /*.[ch],$(DIRS)) standin/*.[ch] bench/*.[ch] tests/*.cc tests/*.h tests/soak/*.cc tests/soak/*.[ch] tests/crowd/*.cc tests/crowd/*.h tests/fuzz/*.[ch])

format:
	clang-format -i $(FORMATTED)

formatcheck:
	clang-format --dry-run -Werror $(FORMATTED)

lint:
	cppcheck --quiet --std=c11 --error-exitcode=1 --inline-suppr --suppressions-list=scripts/cppcheck.txt \
	  --include=scripts/cppcheck.h \
	  --enable=warning,performance,portability -D_GNU_SOURCE $(INCLUDES) $(DIRS) standin bench

clean:
	rm -rf build target


.PHONY: crowd soak release fuzz fuzzcheck all deps demo check bench spec format formatcheck lint clean
