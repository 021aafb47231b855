# Channels, dialers and meshes with one fault each, made of the sources as they are: the same tests run against them, and the
# test that is named must fail. A fault that no longer changes its source fails the build.
function(channel_mutant name source test change)
  set(out ${CMAKE_CURRENT_BINARY_DIR}/channel_mutants/${name}.cpp)
  set(in ${PROJECT_SOURCE_DIR}/src/fleet/channel/${source}.cpp)
  add_custom_command(OUTPUT ${out} VERBATIM DEPENDS ${in} ${CMAKE_CURRENT_SOURCE_DIR}/fleet/channel_mutants.cmake
    COMMAND ${CMAKE_COMMAND} -E make_directory ${CMAKE_CURRENT_BINARY_DIR}/channel_mutants
    COMMAND sh -c "sed -e \"$2\" \"$0\" > \"$1\" && ! cmp -s \"$0\" \"$1\"" ${in} ${out} "${change}")
  add_executable(channel_mutant_${name} ${out} $<TARGET_OBJECTS:channel_test_objects>)
  target_compile_options(channel_mutant_${name} PRIVATE -O0 -w)
  target_link_libraries(channel_mutant_${name} PRIVATE ochrehub_fleet_channel rapidcheck GTest::gtest_main)
  add_test(NAME channel_mutant.${name} COMMAND channel_mutant_${name} --gtest_filter=${test} --gtest_brief=1)
  set_tests_properties(channel_mutant.${name} PROPERTIES PASS_REGULAR_EXPRESSION "FAILED  . ${test}" TIMEOUT 60)
endfunction()

channel_mutant(counts_no_frames channel Channel.FramesLeftOutDoubledSwappedOrCutAreSeen
  "s/update(channel.taken_ + 1)/update(std::uint64_t{0})/; s/mac->update(number)/mac->update(std::uint64_t{0})/")
channel_mutant(takes_any_cluster channel Channel.EndsOnOtherVersionsClustersKeysAndOnItself "/Error::Cluster, actions/d")
channel_mutant(takes_any_version channel Channel.EndsOnOtherVersionsClustersKeysAndOnItself "/Error::Version, actions/d")
channel_mutant(takes_unsigned channel Channel.EndsOnOtherVersionsClustersKeysAndOnItself
  "/octets.8. != own.8./d; s/if (octets.size() < fleet::kTagBytes) return std::nullopt/if (octets.size() < 300) return octets/")
channel_mutant(compares_no_tag channel Channel.ChangedOctetsNeverArriveWhereThereAreKeys 
  "/opens_->update(channel.taken_ + 1)/{n;s/return std::nullopt;/return body;/}")
channel_mutant(knows_no_connection channel Channel.WhatWasRecordedElsewhereGetsNobodyUp "s/.update(sender).update(receiver)//")
channel_mutant(knows_no_direction channel Channel.WhatWasRecordedElsewhereGetsNobodyUp
  "s/.update(sender).update(receiver)/.update(std::min(sender, receiver)).update(std::max(sender, receiver))/")
channel_mutant(takes_its_own_hello channel Channel.WhatWasRecordedElsewhereGetsNobodyUp "/hello.nonce() == set.nonce/d")
channel_mutant(talks_to_itself channel Channel.EndsOnOtherVersionsClustersKeysAndOnItself "/== set.self.instance/d")
channel_mutant(takes_the_first_key_alone channel Channel.KeysAreRolledOneSideAfterTheOther "s/one : keys)/one : keys) if (\\&one == \\&keys.front())/")
channel_mutant(signs_by_the_last_key channel Channel.KeysAreRolledOneSideAfterTheOther "s/set.keys.front()/set.keys.back()/")
channel_mutant(bounds_no_queue channel Channel.ASlowReaderIsSentNoMoreThanTheQueueHolds "s/say.body.size() + kFrameOverheadBytes > settings_.max_queued_bytes/false/")
channel_mutant(answers_without_bound channel Channel.ASlowReaderIsSentNoMoreThanTheQueueHolds 
  "/if (channel.queued_ + answer/,/send(answer)/s/channel.settings_.max_queued_bytes)/std::size_t(-1))/")
channel_mutant(forgets_what_left channel Channel.ASlowReaderIsSentNoMoreThanTheQueueHolds "s/queued_ -= .*;/;/")
channel_mutant(bounds_no_frame channel Channel.LongFramesEndItBeforeTheyAreHeld "s/size > most()/false/")
channel_mutant(bounds_strangers_as_peers channel Channel.LongFramesEndItBeforeTheyAreHeld "s/size > most()/size > settings_.max_message_bytes + kFrameOverheadBytes/")
channel_mutant(bounds_no_message channel Channel.LongFramesEndItBeforeTheyAreHeld "s/message.body().size() > channel.settings_.max_message_bytes/false/")
channel_mutant(never_asks channel Channel.AsksInSilenceAndGivesUpWhatIsSilent "s/!asked_ \\&\\& now - heard_ >= settings_.idle_timeout/false/")
channel_mutant(never_gives_up channel Channel.AsksInSilenceAndGivesUpWhatIsSilent "s/now - heard_ >= settings_.dead_timeout ||/false ||/")
channel_mutant(never_sees_that_nothing_leaves channel Channel.WhoSaysNothingAtTheBeginningOrTakesNothingIsGivenUp
  "s/|| (queued_ > 0 .* settings_.dead_timeout))/)/")
channel_mutant(gives_strangers_time channel Channel.WhoSaysNothingAtTheBeginningOrTakesNothingIsGivenUp
  "s/if (!connected()) return;/if (!connected()) return void(actions.emplace_back(SetTimer{wake_ = now + settings_.dead_timeout}));/")
channel_mutant(takes_its_own_pause_for_silence channel Channel.WhoStoodStillItselfAsksBeforeItGivesUp "s/bool stood = .*;/bool stood = false;/")
channel_mutant(speaks_too_early channel Channel.SaysNothingBeforeItIsUpNorBehindItsEnd
  "s/what \\&\\& !connected()/what \\&\\& (stage_ == Stage::New || stage_ == Stage::Over)/")
channel_mutant(believes_names channel Channel.RefusesPeersThatDoNotSayWhoTheyAre "s/!sound(hello.name()) ||//")
channel_mutant(loses_what_is_not_whole channel Channel.TakesOctetsInWhateverPiecesTheyCome "s/in_ = octets.substr(done)/in_ = {}/")
channel_mutant(takes_all_strangers peer_connections PeerConnections.StrangersThatSayNothingGoAndAFloodOfThemDoesNotKeepPeersOut "s/strangers_ >= settings_.max_unauthenticated/false/")
channel_mutant(takes_all_peers peer_connections PeerConnections.TakesInNoMorePeersThanItMay "s/accepted_ >= settings_.max_accepted_peers/accepted_ >= 9/")
channel_mutant(uses_two_connections peer_connections PeerConnections.TheConnectionThatTheLowerInstanceDialledStaysWhicheverCameFirst "s/end(older, Error::Replaced);//")
channel_mutant(forgets_to_dial_again peer_connections PeerConnections.ComesBackToWhoeverWasAway "s/tell_dialer(Dialer::ConnectionEnded{link->address()});/;/")
channel_mutant(comes_back_all_at_once dialer Dialer.WaitsTwiceAsLongEachTimeAndEachSeedOtherwise "s/(0.5 + 0.5 . drawn)/1.0/")
channel_mutant(forgets_its_waits dialer Dialer.WaitsTwiceAsLongEachTimeAndEachSeedOtherwise "s/now - entry.since >= settings_.backoff_reset_after/true/")
channel_mutant(dials_who_is_there dialer Dialer.GivesUpWhatIsLateAndLeavesWhoIsThere "s/present_.contains(entry.instance)/false/")
channel_mutant(waits_for_ever dialer Dialer.GivesUpWhatIsLateAndLeavesWhoIsThere "s/entry.state == State::Dialing .. entry.due <= now/false/")
