# The tasks of this repository. BUILD names the folder of the ordinary build.
BUILD ?= build
# The operators' folder with what their bench reads beside a site file.
GIVEN_SITES ?= ../given/kit/more/mass/other

.PHONY: build lab demo demo-fleet test lint run measure-lab measure-play measure-load measure-variants measure-overload measure-members measure-deaths measure-fleet measure-fleet-cost measure-decision measure-shards sites clean

build:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD) -j$$(nproc)

# The node and the lab, build/ochrehub_lab.
lab:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release -DOCHREHUB_LAB=ON
	cmake --build $(BUILD) -j$$(nproc)

# A day of 20 s on sockets: stand-in servers, three nodes, load, a server that hangs and one that dies; then a page.
demo: lab
	$(BUILD)/ochrehub_lab play demo --seed 1 --json $(BUILD)/demo.json
	$(BUILD)/ochrehub_lab report $(BUILD)/demo.json -o $(BUILD)/demo

# Five nodes that know each other, with requests, for half a minute: one is paused, one is heard by nobody, one is killed; then a page.
demo-fleet: lab
	$(BUILD)/ochrehub_lab fleet demo --json $(BUILD)/demo-fleet.json
	$(BUILD)/ochrehub_lab report $(BUILD)/demo-fleet.json -o $(BUILD)/demo-fleet

# Module size, then Release and sanitizer builds with all tests.
test:
	tests/run.sh

lint:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release -DCMAKE_EXPORT_COMPILE_COMMANDS=ON
	clang-tidy -p $(BUILD) --quiet $$(git ls-files 'src/*.cpp')

# Needs GW_CONFIG; GW_NAME, GW_LISTEN and GW_DISCOVERY go before what it holds.
run: build
	exec $(BUILD)/ochrehub -f deploy/ochrehub.conf

# Long measurements, not for CI. docs/lab.md has what they gave.
measure-lab: lab
	lab/experiments/speed.sh $(BUILD)
	lab/experiments/thousand_days.sh $(BUILD)
measure-play: lab
	lab/experiments/fidelity.sh $(BUILD)
measure-load: lab
	lab/experiments/load.sh $(BUILD)
measure-variants:
	lab/experiments/variants.sh -s 1..20 kLimitLeast=3 kLimitLeast=8 kPaceHigh=1.7 kPaceHigh=2.6 kAnswerTimes=1.0 kAnswerTimes=2.0
# How the node comes through overload, releases and outages: 100 seeds of each day in virtual time, about 5 minutes of CPU.
measure-overload: lab
	lab/experiments/overload.sh $(BUILD)/ochrehub_lab
# What a decision costs at 13, 60 and 1,000 servers: seconds of one core.
measure-decision: lab
	$(BUILD)/lab/bench/lab_decision_bench
# Membership by gossip at 10, 100 and 1,000 members, and a thousand hours of it: minutes of eight cores.
measure-members: lab
	lab/experiments/members.sh $(BUILD)
# False deaths at 100 and 1,000 members, with pauses and one-sided cuts, beside plain SWIM: minutes of eight cores.
measure-deaths: lab
	lab/experiments/false_deaths.sh $(BUILD)
# The fleet's scenarios on 16 processes, 20 seeds of each, and in virtual time: seven minutes.
measure-fleet: lab
	lab/experiments/fleet.sh $(BUILD) 20 12
# Requests a second of a node with [fleet] beside one without, then with its membership flooded, stopped: 3 minutes.
measure-fleet-cost: lab
	lab/experiments/fleet_cost.sh $(BUILD)
# Shared records: 1,000 drawn days, a fault at each event of a day, saboteurs, threads: a few minutes of eight cores.
measure-shards: lab
	lab/experiments/shards.sh $(BUILD)

# Lays beside our own site files what the operators' bench reads there; git ignores it.
sites:
	cp $(GIVEN_SITES)/real.json $(GIVEN_SITES)/wire.json $(GIVEN_SITES)/unlock.txt deploy/sites/

clean:
	rm -rf $(BUILD) build-release build-sanitize build-tsan
