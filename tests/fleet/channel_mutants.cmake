# Mutants of Channel, Dialer and PeerConnections: each is the current source with one fault, made by a sed expression. The same tests
# run against each, and the named test must fail. An expression that changes nothing fails the build.
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

channel_mutant(ignores_frame_numbers channel Channel.DetectsOmittedDuplicatedReorderedOrTruncatedFrames
  "s/update(channel.frames_received_ + 1)/update(std::uint64_t{0})/; s/mac->update(number)/mac->update(std::uint64_t{0})/")
channel_mutant(accepts_any_cluster channel Channel.ClosesOnOtherVersionClusterKeyOrOwnInstance "/Error::Cluster, actions/d")
channel_mutant(accepts_any_version channel Channel.ClosesOnOtherVersionClusterKeyOrOwnInstance "/Error::Version, actions/d")
channel_mutant(accepts_unsigned_frames channel Channel.ClosesOnOtherVersionClusterKeyOrOwnInstance
  "/bytes.8. != own.8./d; s/if (bytes.size() < fleet::kTagBytes) return std::nullopt/if (bytes.size() < 300) return bytes/")
channel_mutant(skips_tag_check channel Channel.NeverDeliversCorruptedBytesWithKeys 
  "/receive_mac_->update(channel.frames_received_ + 1)/{n;s/return std::nullopt;/return body;/}")
channel_mutant(shares_keys_between_connections channel Channel.RefusesFramesReplayedFromAnotherConnection "s/.update(sender).update(receiver)//")
channel_mutant(shares_keys_between_directions channel Channel.RefusesFramesReplayedFromAnotherConnection
  "s/.update(sender).update(receiver)/.update(std::min(sender, receiver)).update(std::max(sender, receiver))/")
channel_mutant(accepts_its_own_hello channel Channel.RefusesFramesReplayedFromAnotherConnection "/hello.nonce() == set.nonce/d")
channel_mutant(connects_to_itself channel Channel.ClosesOnOtherVersionClusterKeyOrOwnInstance "/== set.self.instance/d")
channel_mutant(verifies_with_first_key_only channel Channel.KeysCanBeRotatedOneSideAtATime "s/one : keys)/one : keys) if (\\&one == \\&keys.front())/")
channel_mutant(signs_with_last_key channel Channel.KeysCanBeRotatedOneSideAtATime "s/set.keys.front()/set.keys.back()/")
channel_mutant(unbounded_queue channel Channel.BoundsTheQueueForASlowReader "s/request.body.size() + kFrameOverheadBytes > settings_.max_queued_bytes/false/")
channel_mutant(unbounded_pongs channel Channel.BoundsTheQueueForASlowReader 
  "/if (channel.queued_bytes_ + response/,/send(response)/s/channel.settings_.max_queued_bytes)/std::size_t(-1))/")
channel_mutant(never_frees_the_queue channel Channel.BoundsTheQueueForASlowReader "s/queued_bytes_ -= .*;/;/")
channel_mutant(unbounded_frames channel Channel.ClosesOnOversizedFrameBeforeBufferingIt "s/size > max_frame_bytes()/false/")
channel_mutant(peer_limit_before_handshake channel Channel.ClosesOnOversizedFrameBeforeBufferingIt "s/size > max_frame_bytes()/size > settings_.max_message_bytes + kFrameOverheadBytes/")
channel_mutant(unbounded_messages channel Channel.ClosesOnOversizedFrameBeforeBufferingIt "s/message.body().size() > channel.settings_.max_message_bytes/false/")
channel_mutant(never_pings channel Channel.PingsIdlePeerAndClosesWhenItStaysSilent "s/!ping_pending_ \\&\\& now - last_received_ >= settings_.idle_timeout/false/")
channel_mutant(ignores_silent_peer channel Channel.PingsIdlePeerAndClosesWhenItStaysSilent "s/now - last_received_ >= settings_.dead_timeout ||/false ||/")
channel_mutant(ignores_stalled_writes channel Channel.ClosesWhenHandshakeOrWritesStall
  "s/(queued_bytes_ > 0 .* settings_.dead_timeout))/false)/")
channel_mutant(extends_handshake_deadline channel Channel.ClosesWhenHandshakeOrWritesStall
  "s/if (!connected()) return;/if (!connected()) return void(actions.emplace_back(SetTimer{timer_at_ = now + settings_.dead_timeout}));/")
channel_mutant(ignores_its_own_pause channel Channel.PingsBeforeClosingAfterItsOwnPause "s/bool was_paused = .*;/bool was_paused = false;/")
channel_mutant(sends_before_connected channel Channel.RejectsMessagesBeforeConnectedAndAfterClose
  "s/message \\&\\& !connected()/message \\&\\& (stage_ == Stage::New || stage_ == Stage::Closed)/")
channel_mutant(accepts_invalid_names channel Channel.RefusesPeersWithInvalidHello "s/!is_valid_name(hello.name()) ||//")
channel_mutant(drops_partial_frames channel Channel.ParsesBytesSplitAtAnyPosition "s/incoming_ = bytes.substr(done)/incoming_ = {}/")
channel_mutant(unbounded_unauthenticated peer_connections PeerConnections.FloodOfUnauthenticatedConnectionsDoesNotBlockPeers "s/unauthenticated_ >= settings_.max_unauthenticated/false/")
channel_mutant(unbounded_accepted_peers peer_connections PeerConnections.LimitsAcceptedPeers "s/accepted_peers_ >= settings_.max_accepted_peers/accepted_peers_ >= 9/")
channel_mutant(keeps_two_connections peer_connections PeerConnections.KeepsConnectionDialedByLowerInstance "s/end(older, Error::Replaced);//")
channel_mutant(never_redials peer_connections PeerConnections.ReconnectsAfterPeerRestart "s/notify_dialer(Dialer::ConnectionEnded{connection->address()});/;/")
channel_mutant(no_backoff_jitter dialer Dialer.BackoffDoublesAndVariesBySeed "s/(0.5 + 0.5 . random_fraction)/1.0/")
channel_mutant(always_resets_backoff dialer Dialer.BackoffDoublesAndVariesBySeed "s/now - entry.since >= settings_.backoff_reset_after/true/")
channel_mutant(dials_connected_peers dialer Dialer.AbortsSlowDialsAndSkipsConnectedPeers "s/connected_peers_.contains(entry.instance)/false/")
channel_mutant(no_connect_timeout dialer Dialer.AbortsSlowDialsAndSkipsConnectedPeers "s/entry.state == State::Dialing .. entry.deadline <= now/false/")
