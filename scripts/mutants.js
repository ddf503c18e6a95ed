/**
 * Mutations for `run-mutants.js`. Each entry disables one mechanism: it replaces the text `from` by `to` in a compiled file,
 * and `test` is the test file that must fail then.
 */

export const mutants = [
  {
    mechanism: 'while first events are late, calls that wait for theirs are bounded',
    file: 'routing/dist/lib/calls/start-limit.js',
    from: 'this.countWaiting() + this.draw < this.getLimit(objectiveMs)',
    to: 'true',
    test: 'routing/dist/test/start-limit_test.js'
  },
  {
    mechanism: 'a stalled path does not hold back calls of other paths',
    file: 'routing/dist/lib/calls/start-limit.js',
    from: 'nowMs - sentMs < 2 * objectiveMs',
    to: 'true',
    test: 'routing/dist/test/start-limit_test.js'
  },
  {
    mechanism: 'no team is served far below the mean',
    file: 'routing/dist/lib/calls/team-shares.js',
    from: 'getStarts(leastServed) < minimum',
    to: 'false',
    test: 'routing/dist/test/waiting-queue_test.js'
  },
  {
    mechanism: 'refused callers return one after another',
    file: 'routing/dist/lib/calls/retry-slots.js',
    from: 'Math.max(nowMs + waitMs, this.getLast(rank))',
    to: 'nowMs + waitMs',
    test: 'routing/dist/test/retry-slots_test.js'
  },
  {
    mechanism: 'the wait of a call leaves time for its first event',
    file: 'routing/dist/lib/calls/wait-limit.js',
    from: ' - readDuration(answerMs ?? objectiveMs)',
    to: '',
    test: 'routing/dist/test/wait-limit_test.js'
  },
  {
    mechanism: 'a new call takes no capacity for which another one waits',
    file: 'clementineloft/dist/lib/forwarding/call-run.js',
    from: 'this.context.queues.startBefore(this)',
    to: 'true',
    test: 'clementineloft/dist/test/call-queue_test.js'
  },
  {
    mechanism: 'a call overtakes only those that could not use the capacity',
    file: 'routing/dist/lib/calls/start-pass.js',
    from: '!this.tried.has(call) && call.need <= need',
    to: 'false',
    test: 'routing/dist/test/waiting-queue_test.js'
  },
  {
    mechanism: 'gaps in which no call waits say nothing of capacity',
    file: 'routing/dist/lib/calls/start-interval.js',
    from: 'this.waitingSinceMs !== undefined || ',
    to: 'true || ',
    test: 'routing/dist/test/waiting-queue_test.js'
  },
  {
    mechanism: 'a choice by old reports is more random',
    file: 'routing/dist/lib/calls/endpoint-choice.js',
    from: 'Math.max(minUnknownShare, unknown / estimates.length)',
    to: 'minUnknownShare',
    test: 'routing/dist/test/endpoint-loads_test.js'
  },
  {
    mechanism: 'memory for the answers of running requests is reserved',
    file: 'routing/dist/lib/layers/path-costs.js',
    from: '* layers + growth',
    to: '* layers',
    test: 'routing/dist/test/answer-reserve_test.js'
  },
  {
    mechanism: 'lengths of answers are learned',
    file: 'routing/dist/lib/calls/answer-lengths.js',
    from: 'lengths.actual / lengths.stated',
    to: '1',
    test: 'routing/dist/test/answer-reserve_test.js'
  },
  {
    mechanism: 'an old report of load counts less',
    file: 'routing/dist/lib/calls/endpoint-loads.js',
    from: 'Math.exp(-ageMs / stayMs)',
    to: '1',
    test: 'routing/dist/test/endpoint-loads_test.js'
  },
  {
    mechanism: 'an endpoint that fails calls at once does not draw all calls',
    file: 'routing/dist/lib/calls/endpoint-choice.js',
    from: 'Math.max(stayMs, longestStayMs / maxSpeedRatio)',
    to: 'stayMs',
    test: 'routing/dist/test/endpoint-loads_test.js'
  },
  {
    mechanism: 'capacity is left to more urgent calls that wait at other entries',
    file: 'routing/dist/lib/calls/admission-level.js',
    from: 'mergeGreatest(known, own)',
    to: 'own',
    test: 'routing/dist/test/admission-level_test.js'
  },
  {
    mechanism: 'a share of the capacity is never withheld from a rank',
    file: 'routing/dist/lib/calls/rank-share.js',
    from: 'usedTokens + tokens <= shareTokens',
    to: 'false',
    test: 'routing/dist/test/admission-level_test.js'
  },
  {
    mechanism: 'capacity that urgent calls cannot use is not withheld',
    file: 'routing/dist/lib/calls/admission-level.js',
    from: 'this.observedMs - this.needSinceMs < maxIdleMs',
    to: 'true',
    test: 'routing/dist/test/admission-level_test.js'
  },
  {
    mechanism: 'entries divide the surplus among themselves',
    file: 'routing/dist/lib/calls/admission-level.js',
    from: 'Math.max(1 / this.entries, part)',
    to: '1',
    test: 'routing/dist/test/admission-level_test.js'
  },
  {
    mechanism: 'waiting calls of an entry that is gone leave the sums',
    file: 'routing/dist/lib/calls/waiting-totals.js',
    from: 'nowMs - atMs >= waitingTtlMs',
    to: 'false',
    test: 'routing/dist/test/waiting-totals_test.js'
  },
  {
    mechanism: 'a service whose calls have one rank has no level',
    file: 'clementineloft/dist/lib/forwarding/rank-admission.js',
    from: 'listServiceRanks(config, name).length > 1',
    to: 'true',
    test: 'clementineloft/dist/test/rank-admission_test.js'
  },
  {
    mechanism: 'bodies over the memory budget are closed',
    file: 'routing/dist/lib/calls/memory-budget.js',
    from: 'if (this.getHeldBytes() > this.limitBytes)',
    to: 'if (false)',
    test: 'routing/dist/test/memory-budget_test.js'
  },
  {
    mechanism: 'a stopping server refuses calls whose bodies come late',
    file: 'clementineloft/dist/lib/callers/drain-calls.js',
    from: 'server.refuseNewCalls();',
    to: '',
    test: 'clementineloft/dist/test/drain-calls_test.js'
  },
  {
    mechanism: 'an answer that has ended is written before its connection closes',
    file: 'clementineloft/dist/lib/callers/call-server.js',
    from: 'if (!isWriting)',
    to: '',
    test: 'clementineloft/dist/test/drain-calls_test.js'
  },
  {
    mechanism: 'an endpoint that asks for a pause gets no calls',
    file: 'routing/dist/lib/calls/endpoint-health.js',
    from: 'Math.max(state.excludedUntilMs, state.pausedUntilMs)',
    to: 'state.excludedUntilMs',
    test: 'routing/dist/test/calls_test.js'
  },
  {
    mechanism: 'a reset that arrives with the last bytes is no end',
    file: 'clementineloft/dist/lib/adapters/reset-detector.js',
    from: 'socket.remoteAddress === undefined',
    to: 'false',
    test: 'clementineloft/dist/test/reset-detector_test.js'
  },
  {
    mechanism: 'a call that has ended is no load of its endpoint',
    file: 'routing/dist/lib/load-table.js',
    from: 'Math.min(load.sentSinceReport, load.inFlight)',
    to: 'load.sentSinceReport',
    test: 'routing/dist/test/load-table_test.js'
  },
  {
    mechanism: 'an answer that cannot be sent on is a failure of its endpoint',
    file: 'clementineloft/dist/lib/adapters/http-plain-service.js',
    from: 'if (fault !== undefined)',
    to: 'if (false)',
    test: 'clementineloft/dist/test/http-plain-service_test.js'
  },
  {
    mechanism: 'a released lease is taken at once',
    file: 'coordination/dist/lib/timed-lease.js',
    from: 'getSpec(object).holder === noHolder',
    to: 'false',
    test: 'coordination/dist/test/timed-lease_test.js'
  },
  {
    mechanism: 'an endpoint without layers does not prevent regrouping',
    file: 'routing/dist/lib/layers/layout-policy.js',
    from: '!hasSameAssignments(covered, current)',
    to: 'covered !== current',
    test: 'routing/dist/test/layout-policy_test.js'
  },
  {
    mechanism: 'inefficient groups are regrouped only once the endpoints are stable',
    file: 'routing/dist/lib/layers/layout-policy.js',
    from: 'nowMs - this.changedMs >= regroupDelayMs',
    to: 'true',
    test: 'routing/dist/test/layout-policy_test.js'
  },
  {
    mechanism: 'a minimum of groups keeps its layers while others load',
    file: 'routing/dist/lib/layers/layout-regroup.js',
    from: 'const minKeptGroups = 2;',
    to: 'const minKeptGroups = 0;',
    test: 'routing/dist/test/layout-regroup_test.js'
  },
  {
    mechanism: 'layers added to cover an endpoint are released when it returns',
    file: 'routing/dist/lib/layers/layout-regroup.js',
    from: 'from < part.from || to > part.to || to === from',
    to: 'true',
    test: 'routing/dist/test/layout-regroup_test.js'
  },
  {
    mechanism: 'a plan for time counts the requests in the batch',
    file: 'routing/dist/lib/layers/group-rate.js',
    from: 'if (engine.goal === LayoutGoal.time)\n        return computeBatchedRate',
    to: 'if (false)\n        return computeBatchedRate',
    test: 'routing/dist/test/layout-goal_test.js'
  },
  {
    mechanism: 'a group for time keeps room for long requests',
    file: 'routing/dist/lib/layers/group-rate.js',
    from: 'capacity >= minTimedTokenCapacity',
    to: 'true',
    test: 'routing/dist/test/layout-goal_test.js'
  },
  {
    mechanism: 'a layout keeps its goal under a holder with other settings',
    file: 'routing/dist/lib/layers/layout-goal.js',
    from: 'stored === undefined || stored.assignments.length === 0',
    to: 'true',
    test: 'routing/dist/test/layout-goal_test.js'
  },
  {
    mechanism: 'other entries are assumed to send at the mean rate',
    file: 'routing/dist/lib/layers/path-costs.js',
    from: 'Math.max(others.tokenLayers, work.sent.tokenLayers * (this.entries - 1))',
    to: 'work.sent.tokenLayers * (this.entries - 1)',
    test: 'stand-ins/dist/test/replay_test.js'
  },
  {
    mechanism: 'a leaving endpoint gets no new calls',
    file: 'clementineloft/dist/lib/forwarding/call-directory.js',
    from: 'endpoint.isLeaving || ',
    to: '',
    test: 'clementineloft/dist/test/call-directory_test.js'
  },
  {
    mechanism: 'an older layout is ignored',
    file: 'routing/dist/lib/layers/layer-target.js',
    from: 'revision <= this.revision',
    to: 'revision === this.revision',
    test: 'routing/dist/test/layer-target_test.js'
  },
  {
    mechanism: 'an unanswered watch is restarted',
    file: 'coordination/dist/lib/kind-replica.js',
    from: 'this.pendingWatch?.abort(); }, (error)',
    to: '}, (error)',
    test: 'coordination/dist/test/kind-replica_test.js'
  },
  {
    mechanism: 'identifiers begin with a letter',
    file: 'kernel/dist/lib/identifiers.js',
    from: 'leadingLetterPattern.test(identifier)',
    to: 'true',
    test: 'kernel/dist/test/identifiers_test.js'
  },
  {
    mechanism: 'each position is accepted once',
    file: 'routing/dist/lib/stage-session.js',
    from: 'const rows = step.rows.slice(acceptedCount);',
    to: 'const rows = step.rows;',
    test: 'routing/dist/test/stage-session_test.js'
  },
  {
    mechanism: 'steps of older attempts are refused',
    file: 'routing/dist/lib/stage-session.js',
    from: 'if (step.attempt < this.attempt)',
    to: 'if (false)',
    test: 'routing/dist/test/stage-session_test.js'
  },
  {
    mechanism: 'outputs replayed from the log',
    file: 'routing/dist/lib/pipeline-run.js',
    from: 'this.sender.forward(this.pipeline.list(), this.attempt, alignment.forwardFrom);',
    to: 'this.sender.forward(this.pipeline.list(), this.attempt, alignment.forwardFrom.map((from) => from + 1));',
    test: 'routing/dist/test/pipeline-run_property_test.js'
  },
  {
    mechanism: 'restart when the log no longer holds the needed outputs',
    file: 'routing/dist/lib/alignment.js',
    from: 'const isReplayable = statuses.every(',
    to: 'const isReplayable = true || statuses.every(',
    test: 'routing/dist/test/pipeline-run_property_test.js'
  },
  {
    mechanism: 'duplicate tokens discarded',
    file: 'routing/dist/lib/pipeline-run.js',
    from: 'frame.tokens.slice(Math.max(0, nextPosition - frame.position))',
    to: 'frame.tokens',
    test: 'routing/dist/test/pipeline-run_property_test.js'
  },
  {
    mechanism: 'unresponsive stages probed',
    file: 'routing/dist/lib/stall-probe.js',
    from: 'this.schedule(this.options.stallMs, () => { this.probeStages(); });',
    to: '',
    test: 'routing/dist/test/pipeline-run_property_test.js'
  },
  {
    mechanism: 'claims conditional on the version',
    file: 'coordination/dist/lib/claim-log.js',
    from: 'const previous = version === absentVersion ? undefined : log.state;',
    to: 'const now = await this.record.read(); const previous = now;',
    test: 'coordination/dist/test/at-most-once_property_test.js'
  },
  {
    mechanism: 'claim written before the call',
    file: 'coordination/dist/lib/call-gate.js',
    from: 'if (!isGranted)',
    to: 'if (false)',
    test: 'coordination/dist/test/at-most-once_property_test.js'
  },
  {
    mechanism: 'tombstones of cancelled calls',
    file: 'coordination/dist/lib/call-gate.js',
    from: 'this.tombstones.add(request);',
    to: '',
    test: 'coordination/dist/test/call-gate_test.js'
  },
  {
    mechanism: 'calls cancelled while their claim is written',
    file: 'coordination/dist/lib/call-gate.js',
    from: 'if (record.isCancelled)',
    to: 'if (false)',
    test: 'coordination/dist/test/at-most-once_property_test.js'
  },
  {
    mechanism: 'tickets bound to one process',
    file: 'coordination/dist/lib/ticket-issuer.js',
    from: 'ticket.incarnation === this.incarnation &&',
    to: '',
    test: 'coordination/dist/test/call-gate_test.js'
  },
  {
    mechanism: 'lost answers read back',
    file: 'coordination/dist/lib/store-record.js',
    from: 'if (state?.operations.includes(operation) === true)',
    to: 'if (false)',
    test: 'coordination/dist/test/claim-range_test.js'
  },
  {
    mechanism: 'segments read back after a lost answer',
    file: 'coordination/dist/lib/claim-log.js',
    from: 'if (getErrorOutcome(error) !== Outcome.unknown)',
    to: 'if (true)',
    test: 'coordination/dist/test/claim-range_test.js'
  },
  {
    mechanism: 'claims of other processes read again before they are reported',
    file: 'coordination/dist/lib/claim-range.js',
    from: 'this.held !== undefined && this.isCurrentFor(claims, this.held)',
    to: 'this.held !== undefined',
    test: 'coordination/dist/test/claim-range_test.js'
  },
  {
    mechanism: 'a release removes only its own claim',
    file: 'coordination/dist/lib/claim-records.js',
    from: 'if (current !== undefined && isSameClaim(current, entry))',
    to: 'if (true)',
    test: 'coordination/dist/test/claim-range_test.js'
  },
  {
    mechanism: 'revisions never decrease',
    file: 'coordination/dist/lib/config-replica.js',
    from: 'if (snapshot.revision <= this.getRevision())',
    to: 'if (false)',
    test: 'coordination/dist/test/config-replica_test.js'
  },
  {
    mechanism: 'plans refused on conflicting changes',
    file: 'coordination/dist/lib/config-planner.js',
    from: 'this.checkNoConflict(plan, state.body);',
    to: '',
    test: 'coordination/dist/test/config-planner_test.js'
  },
  {
    mechanism: 'documents validated again on confirmation',
    file: 'coordination/dist/lib/config-planner.js',
    from: 'this.checkDocument(state.body.document, document);',
    to: '',
    test: 'coordination/dist/test/config-planner_test.js'
  },
  {
    mechanism: 'leaving state retained despite a stale list',
    file: 'coordination/dist/lib/membership.js',
    from: 'this.leavingIncarnations.set(name, incarnation);',
    to: '',
    test: 'coordination/dist/test/membership_test.js'
  },
  {
    mechanism: 'leaving gates refuse new calls',
    file: 'coordination/dist/lib/call-gate.js',
    from: 'this.isLeaving = isLeaving;',
    to: '',
    test: 'coordination/dist/test/call-gate_test.js'
  },
  {
    mechanism: 'suspected requests run alone',
    file: 'routing/dist/lib/engine-executor.js',
    from: 'if (context.isSuspect)',
    to: 'if (false)',
    test: 'routing/dist/test/engine-executor_test.js'
  },
  {
    mechanism: 'quarantine after two crashes',
    file: 'routing/dist/lib/crash-verdicts.js',
    from: '>= minQuarantineCrashes',
    to: '>= 99',
    test: 'routing/dist/test/crash-register_test.js'
  },
  {
    mechanism: 'crashes with a common cause count as one',
    file: 'routing/dist/lib/crash-verdicts.js',
    from: 'if (hasCommonCause)',
    to: 'if (false)',
    test: 'routing/dist/test/crash-register_test.js'
  },
  {
    mechanism: 'crashes that a stronger suspect explains are not held against others',
    file: 'routing/dist/lib/crash-verdicts.js',
    from: '!explained.has(endpoint)',
    to: 'endpoint !== undefined',
    test: 'routing/dist/test/crash-register_test.js'
  },
  {
    mechanism: 'a request is refused only if it has all that the suspects had in common',
    file: 'routing/dist/lib/crash-register.js',
    from: 'quarantined.has(trait) && this.hasAllCompanions(trait, traits)',
    to: 'quarantined.has(trait)',
    test: 'routing/dist/test/crash-register_test.js'
  },
  {
    mechanism: 'a call that an endpoint was beginning to answer when it crashed waits',
    file: 'routing/dist/lib/crash-register.js',
    from: 'isOver ? 0 : this.choosePauseMs(traits, fingerprint)',
    to: '0',
    test: 'routing/dist/test/crash-register_test.js'
  },
  {
    mechanism: 'an answer clears a request of crashes',
    file: 'routing/dist/lib/crash-record.js',
    from: 'crashedMs > this.answeredMs + answerValidityMs',
    to: 'crashedMs > 0',
    test: 'routing/dist/test/crash-register_property_test.js'
  },
  {
    mechanism: 'suspects are evicted before quarantined requests',
    file: 'routing/dist/lib/crash-register.js',
    from: '[...oldest.filter((trait) => !quarantined.has(trait)), ...oldest.filter((trait) => quarantined.has(trait))]',
    to: 'oldest',
    test: 'routing/dist/test/crash-register_test.js'
  },
  {
    mechanism: 'a lost connection counts as a crash only if the endpoint has ended',
    file: 'clementineloft/dist/lib/adapters/listen-probe.js',
    from: 'finish(error.code === refusedCode)',
    to: 'finish(false)',
    test: 'clementineloft/dist/test/listen-probe_test.js'
  },
  {
    mechanism: 'plain services refuse calls that crash them',
    file: 'clementineloft/dist/lib/endpoints/crash-guard.js',
    from: 'if (this.crashes.isQuarantined(fingerprint))',
    to: 'if (false)',
    test: 'clementineloft/dist/test/crash-guard_test.js'
  },
  {
    mechanism: 'queue shares follow team weights',
    file: 'routing/dist/lib/fair-queue.js',
    from: 'job.cost / this.getWeight(team)',
    to: 'job.cost',
    test: 'routing/dist/test/fair-queue_test.js'
  },
  {
    mechanism: 'queue shares are counted in cost',
    file: 'routing/dist/lib/fair-queue.js',
    from: 'job.cost / this.getWeight(team)',
    to: '1 / this.getWeight(team)',
    test: 'routing/dist/test/fair-queue_test.js'
  },
  {
    mechanism: 'limit on burst credit',
    file: 'routing/dist/lib/fair-queue.js',
    from: 'this.options.burstCredit / this.getWeight(team);',
    to: '1e9;',
    test: 'routing/dist/test/fair-queue_test.js'
  },
  {
    mechanism: 'dynamic admission thresholds',
    file: 'routing/dist/lib/admission-control.js',
    from: '< this.getFreeCapacityFactor(team) * free',
    to: '< Infinity',
    test: 'routing/dist/test/admission-control_test.js'
  },
  {
    mechanism: 'retry budget',
    file: 'routing/dist/lib/pipeline-run.js',
    from: '&& !this.retryBudget.take()',
    to: '&& false',
    test: 'routing/dist/test/pipeline-run_test.js'
  },
  {
    mechanism: 'previously lost endpoints reused',
    file: 'routing/dist/lib/stage-picker.js',
    from: 'this.source.pickReplacement(stage.endpoint, knownUnavailable)',
    to: 'undefined',
    test: 'routing/dist/test/pipeline-run_test.js'
  },
  {
    mechanism: '"not run" reported only if every attempt proves it',
    file: 'routing/dist/lib/attempt-outcomes.js',
    from: 'if (this.unknownOutcomeError === undefined ||',
    to: 'if (true ||',
    test: 'routing/dist/test/attempt-outcomes_test.js'
  },
  {
    mechanism: 'restarted endpoints retried once',
    file: 'routing/dist/lib/service-attempts.js',
    from: 'this.tried.delete(endpoint);',
    to: '',
    test: 'routing/dist/test/service-attempts_test.js'
  },
  {
    mechanism: 'outcome not-run for calls without a connection',
    file: 'clementineloft/dist/lib/peers/unary-client.js',
    from: '|^No connection established/',
    to: '/',
    test: 'clementineloft/dist/test/unary-client_test.js'
  },
  {
    mechanism: 'pause before a run restarts',
    file: 'routing/dist/lib/pipeline-run.js',
    from: 'this.stallProbe.schedule(this.options.restartPauseMs,',
    to: 'this.stallProbe.schedule(0,',
    test: 'routing/dist/test/pipeline-run_test.js'
  },
  {
    mechanism: 'runs fail by elapsed time, not by loss count',
    file: 'routing/dist/lib/loss-limit.js',
    from: 'if (nowMs - this.lastTokenMs >= this.maxSilenceMs)',
    to: 'if (true)',
    test: 'routing/dist/test/loss-limit_test.js'
  },
  {
    mechanism: 'lost repeats resolved by their key',
    file: 'coordination/dist/lib/call-gate.js',
    from: "const recordKey = key === '' ?",
    to: 'const recordKey = true ?',
    test: 'coordination/dist/test/call-gate_test.js'
  },
  {
    mechanism: 'lease checked before an order',
    file: 'coordination/dist/lib/fenced-lease.js',
    from: 'throw createError(ErrorKind.superseded',
    to: 'return this.fence; createError(ErrorKind.superseded',
    test: 'stand-ins/dist/test/engine-reconciler_test.js'
  },
  {
    mechanism: 'loaded layers are read back and corrected',
    file: 'routing/dist/lib/engine-reconciler.js',
    from: 'this.loaded = await this.engine.readLoaded();\n            this.lastErrorMessage',
    to: 'this.loaded ??= await this.engine.readLoaded();\n            this.lastErrorMessage',
    test: 'stand-ins/dist/test/engine-reconciler_test.js'
  },
  {
    mechanism: 'events of an ended attempt are ignored',
    file: 'clementineloft/dist/lib/forwarding/answer-relay.js',
    from: 'return this.isCurrent() && !this.isClosed',
    to: 'return !this.isClosed',
    test: 'clementineloft/dist/test/answer-relay_test.js'
  },
  {
    mechanism: 'truncated answers are not taken as complete',
    file: 'clementineloft/dist/lib/forwarding/answer-relay.js',
    from: 'return this.response.complete &&',
    to: 'return true ||',
    test: 'clementineloft/dist/test/answer-relay_test.js'
  },
  {
    mechanism: 'streams that end in the middle of an event are taken as truncated',
    file: 'clementineloft/dist/lib/forwarding/answer-relay.js',
    from: '&& splitter.getIncompleteBytes() === 0',
    to: '',
    test: 'clementineloft/dist/test/answer-relay_test.js'
  },
  {
    mechanism: 'a forwarded call that may have run is not retried unless that is safe',
    file: 'routing/dist/lib/calls/attempt-rule.js',
    from: 'if (state.hasMaybeRun && !canRunAgain(state.route))',
    to: 'if (false)',
    test: 'routing/dist/test/calls_test.js'
  },
  {
    mechanism: 'the attempts of a forwarded call are limited',
    file: 'routing/dist/lib/calls/attempt-rule.js',
    from: 'state.runs >= state.route.maxAttempts ||',
    to: '',
    test: 'routing/dist/test/calls_test.js'
  },
  {
    mechanism: 'retries are counted in a sliding window',
    file: 'routing/dist/lib/calls/retry-window.js',
    from: 'this.retries.record();',
    to: '',
    test: 'routing/dist/test/calls_test.js'
  },
  {
    mechanism: 'a process that has just started takes nothing of the fixed retry allowance',
    file: 'routing/dist/lib/calls/retry-window.js',
    from: 'if (this.clock.now() - this.processStartMs < windowMs)',
    to: 'if (false)',
    test: 'routing/dist/test/calls_test.js'
  },
  {
    mechanism: 'a connection on which bytes arrive while it is idle is dropped',
    file: 'clementineloft/dist/lib/forwarding/endpoint-agent.js',
    from: "socket.on('data', drop);",
    to: '',
    test: 'clementineloft/dist/test/endpoint-agent_test.js'
  },
  {
    mechanism: 'an event without end is given up',
    file: 'clementineloft/dist/lib/forwarding/answer-relay.js',
    from: 'splitter.getIncompleteBytes() > maxBufferedBytes',
    to: 'false',
    test: 'clementineloft/dist/test/answer-relay_test.js'
  },
  {
    mechanism: 'the body of an error answer is bounded',
    file: 'clementineloft/dist/lib/forwarding/answer-relay.js',
    from: 'if (this.buffer.getLength() > maxBufferedBytes)\n                handleTruncated();',
    to: '',
    test: 'clementineloft/dist/test/answer-relay_test.js'
  },
  {
    mechanism: 'an answer without an identity is evidence of nothing',
    file: '../platform/dist/platform-protocol.js',
    from: 'isForThisCall: answerCallId === call.id',
    to: 'isForThisCall: answerCallId === undefined || answerCallId === call.id',
    test: '../platform/dist/test/platform-protocol_test.js'
  },
  {
    mechanism: 'an endpoint that is only slow to report keeps its running streams',
    file: 'clementineloft/dist/lib/forwarding/stream-failover.js',
    from: 'directory.progress.hasAdvanced(endpoint.id, silentProgressMs)',
    to: 'false',
    test: 'clementineloft/dist/test/stream-failover_test.js'
  },
  {
    mechanism: 'malformed reports of endpoints are refused',
    file: '../platform/dist/platform-engine.js',
    from: "typeof value === 'number' && Number.isFinite(value) && value >= 0",
    to: 'true',
    test: '../platform/dist/test/platform-engine_test.js'
  },
  {
    mechanism: 'a new lease holder does not take unlisted endpoints for lost',
    file: 'routing/dist/lib/layers/layout-policy.js',
    from: 'nowMs - this.firstObservedMs < listingTimeMs',
    to: 'false',
    test: 'routing/dist/test/layout-policy_test.js'
  },
  {
    mechanism: 'many removals at once are deferred',
    file: 'coordination/dist/lib/kind-replica.js',
    from: 'count < massRemoval.count',
    to: 'true',
    test: 'coordination/dist/test/kind-replica_test.js'
  },
  {
    mechanism: 'a search that must fail is not repeated',
    file: 'routing/dist/lib/calls/placement-memo.js',
    from: 'failure.capacityVersion !== capacityVersion',
    to: 'true',
    test: 'clementineloft/dist/test/call-placement_test.js'
  },
  {
    mechanism: 'a failed search for a call that avoids endpoints says nothing about other calls',
    file: 'clementineloft/dist/lib/forwarding/call-placement.js',
    from: 'if (avoided.size === 0)',
    to: '',
    test: 'clementineloft/dist/test/call-placement_test.js'
  },
  {
    mechanism: 'the end of a call lets queued calls be searched for',
    file: 'clementineloft/dist/lib/forwarding/call-placement.js',
    from: 'this.directory.recordFreed();',
    to: '',
    test: 'clementineloft/dist/test/call-placement_test.js'
  },
  {
    mechanism: 'events that have left the window are forgotten',
    file: 'routing/dist/lib/calls/sliding-count.js',
    from: 'if (this.first <= maxExpiredEvents)',
    to: 'if (true)',
    test: 'routing/dist/test/calls_test.js'
  },
  {
    mechanism: 'teams with the lowest usage go first in the queue',
    file: 'routing/dist/lib/calls/team-shares.js',
    from: 'pickLowest(teams, (team) => this.getUsage(team))',
    to: 'teams[0]',
    test: 'routing/dist/test/waiting-queue_test.js'
  },
  {
    mechanism: 'failing endpoints are excluded for longer each time',
    file: 'routing/dist/lib/calls/endpoint-health.js',
    from: '2 ** state.consecutiveLosses',
    to: '1',
    test: 'routing/dist/test/calls_test.js'
  },
  {
    mechanism: 'no endpoint appears twice on a path',
    file: 'routing/dist/lib/layers/layer-path.js',
    from: 'hasVisited(step, candidate)',
    to: 'false',
    test: 'routing/dist/test/layer-path_test.js'
  },
  {
    mechanism: 'own requests since the report are multiplied by the number of entries',
    file: 'routing/dist/lib/layers/path-costs.js',
    from: 'Math.max(others.tokenLayers, work.sent.tokenLayers * (this.entries - 1))',
    to: 'others.tokenLayers',
    test: 'routing/dist/test/layer-path_test.js'
  },
  {
    mechanism: 'absence is judged by the last observation',
    file: 'routing/dist/lib/layers/layout-policy.js',
    from: 'seenMs < this.observedMs',
    to: 'seenMs <= this.observedMs',
    test: 'routing/dist/test/layout-policy_test.js'
  },
  {
    mechanism: 'groups are widened over gaps',
    file: 'routing/dist/lib/layers/layer-layout.js',
    from: 'while (widenByOneLayer(group, known, engine))',
    to: 'while (false)',
    test: 'routing/dist/test/layer-layout_test.js'
  },
  {
    mechanism: 'removals deferred after an outage',
    file: 'coordination/dist/lib/kind-replica.js',
    from: 'if (deferMs <= 0)',
    to: 'if (true)',
    test: 'coordination/dist/test/kind-replica_test.js'
  },
  {
    mechanism: 'stale replicas detected by their checksum',
    file: 'coordination/dist/lib/kind-replica.js',
    from: 'if (checksum === this.computeChecksum())',
    to: 'if (true)',
    test: 'coordination/dist/test/kind-replica_test.js'
  },
  {
    mechanism: 'a paused holder does not treat its lease as held',
    file: 'coordination/dist/lib/timed-lease.js',
    from: 'this.clock.now() - this.renewedAtMs < this.termMs * 0.8',
    to: 'true',
    test: 'coordination/dist/test/timed-lease_test.js'
  }
]
