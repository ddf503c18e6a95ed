/**
 * Mutations for `run-mutants.js`. Each entry disables one mechanism: it replaces the text `from` by `to` in a compiled file,
 * and `test` is the test file that must fail then.
 */

export const mutants = [
  {
    mechanism: 'a lease that was given up is taken at once',
    file: 'coordination/dist/lib/timed-lease.js',
    from: 'getSpec(object).holder === nobody',
    to: 'false',
    test: 'coordination/dist/test/timed-lease_test.js'
  },
  {
    mechanism: 'an endpoint without layers does not hold up new groups',
    file: 'routing/dist/lib/layers/layout-policy.js',
    from: '!hasSameAssignments(covered, present)',
    to: 'covered !== present',
    test: 'routing/dist/test/layout-policy_test.js'
  },
  {
    mechanism: 'poor groups are cut anew once endpoints have settled',
    file: 'routing/dist/lib/layers/layout-policy.js',
    from: 'nowMs - this.changedMs >= regroupMs',
    to: 'true',
    test: 'routing/dist/test/layout-policy_test.js'
  },
  {
    mechanism: 'groups keep their layers while others load',
    file: 'routing/dist/lib/layers/layout-regroup.js',
    from: 'const fewestKept = 2;',
    to: 'const fewestKept = 0;',
    test: 'routing/dist/test/layout-regroup_test.js'
  },
  {
    mechanism: 'what was widened over an endpoint is given up',
    file: 'routing/dist/lib/layers/layout-regroup.js',
    from: 'from < part.from || to > part.to || to === from',
    to: 'true',
    test: 'routing/dist/test/layout-regroup_test.js'
  },
  {
    mechanism: 'other entries are expected to send on the mean',
    file: 'routing/dist/lib/layers/path-costs.js',
    from: 'Math.max(others.tokenLayers, work.sent.tokenLayers * (this.entries - 1))',
    to: 'work.sent.tokenLayers * (this.entries - 1)',
    test: 'stand-ins/dist/test/replay_test.js'
  },
  {
    mechanism: 'an endpoint that leaves gets no new calls',
    file: 'clementineloft/dist/lib/forwarding/call-directory.js',
    from: 'if (endpoint.isLeaving)',
    to: 'if (false)',
    test: 'clementineloft/dist/test/call-directory_test.js'
  },
  {
    mechanism: 'an older layout changes nothing',
    file: 'routing/dist/lib/layers/layer-target.js',
    from: 'revision <= this.revision',
    to: 'revision === this.revision',
    test: 'routing/dist/test/layer-target_test.js'
  },
  {
    mechanism: 'a silent watch is sent again',
    file: 'coordination/dist/lib/kind-replica.js',
    from: 'this.pendingWatch?.abort(); }, (error)',
    to: '}, (error)',
    test: 'coordination/dist/test/kind-replica_test.js'
  },
  {
    mechanism: 'identifiers begin with a letter',
    file: 'kernel/dist/lib/identifiers.js',
    from: 'beginsWithLetter.test(identifier)',
    to: 'true',
    test: 'kernel/dist/test/identifiers_test.js'
  },
  {
    mechanism: 'positions accepted once',
    file: 'routing/dist/lib/stage-session.js',
    from: 'const rows = step.rows.slice(known);',
    to: 'const rows = step.rows;',
    test: 'routing/dist/test/stage-session_test.js'
  },
  {
    mechanism: 'older attempts refused',
    file: 'routing/dist/lib/stage-session.js',
    from: 'if (step.attempt < this.attempt)',
    to: 'if (false)',
    test: 'routing/dist/test/stage-session_test.js'
  },
  {
    mechanism: 'replay from the log',
    file: 'routing/dist/lib/pipeline-run.js',
    from: 'this.sendForwards(alignment.forwardFrom);',
    to: 'this.sendForwards(alignment.forwardFrom.map((from) => from + 1));',
    test: 'routing/dist/test/pipeline-run_property_test.js'
  },
  {
    mechanism: 'restart when the log no longer reaches',
    file: 'routing/dist/lib/alignment.js',
    from: 'const isCovered = statuses.every(',
    to: 'const isCovered = true || statuses.every(',
    test: 'routing/dist/test/pipeline-run_property_test.js'
  },
  {
    mechanism: 'tokens delivered once',
    file: 'routing/dist/lib/pipeline-run.js',
    from: 'frame.tokens.slice(Math.max(0, firstUseful - frame.position))',
    to: 'frame.tokens',
    test: 'routing/dist/test/pipeline-run_property_test.js'
  },
  {
    mechanism: 'silent stages probed',
    file: 'routing/dist/lib/pipeline-run.js',
    from: 'this.setTimer(this.options.stallMs, () => { this.probe(); });',
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
    mechanism: 'claim before the call',
    file: 'coordination/dist/lib/call-gate.js',
    from: 'if (!isGranted)',
    to: 'if (false)',
    test: 'coordination/dist/test/at-most-once_property_test.js'
  },
  {
    mechanism: 'tombstones of resolved calls',
    file: 'coordination/dist/lib/call-gate.js',
    from: 'this.tombstones.add(request);',
    to: '',
    test: 'coordination/dist/test/call-gate_test.js'
  },
  {
    mechanism: 'calls called off while their claim is written',
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
    mechanism: 'claims of others read again before they are told',
    file: 'coordination/dist/lib/claim-range.js',
    from: 'this.held !== undefined && this.isCurrentFor(claims, this.held)',
    to: 'this.held !== undefined',
    test: 'coordination/dist/test/claim-range_test.js'
  },
  {
    mechanism: 'a release ends only its own claim',
    file: 'coordination/dist/lib/claim-records.js',
    from: 'if (standing !== undefined && isSameClaim(standing, entry))',
    to: 'if (true)',
    test: 'coordination/dist/test/claim-range_test.js'
  },
  {
    mechanism: 'revisions only grow',
    file: 'coordination/dist/lib/config-replica.js',
    from: 'if (snapshot.revision <= this.getRevision())',
    to: 'if (false)',
    test: 'coordination/dist/test/config-replica_test.js'
  },
  {
    mechanism: 'plans bound to what they touch',
    file: 'coordination/dist/lib/plan-book.js',
    from: 'this.checkUntouched(plan, state.body);',
    to: '',
    test: 'coordination/dist/test/plan-book_test.js'
  },
  {
    mechanism: 'rules checked again on confirming',
    file: 'coordination/dist/lib/plan-book.js',
    from: 'this.checkDocument(state.body.document, document);',
    to: '',
    test: 'coordination/dist/test/plan-book_test.js'
  },
  {
    mechanism: 'leaving remembered against a stale list',
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
    mechanism: 'suspects run alone',
    file: 'routing/dist/lib/engine-executor.js',
    from: 'if (terms.isSuspect)',
    to: 'if (false)',
    test: 'routing/dist/test/engine-executor_test.js'
  },
  {
    mechanism: 'quarantine after two endpoints',
    file: 'routing/dist/lib/crash-register.js',
    from: '>= quarantineCrashes',
    to: '>= 99',
    test: 'routing/dist/test/crash-register_test.js'
  },
  {
    mechanism: 'weights in the queue',
    file: 'routing/dist/lib/fair-queue.js',
    from: 'job.cost / this.getWeight(team)',
    to: 'job.cost',
    test: 'routing/dist/test/fair-queue_test.js'
  },
  {
    mechanism: 'queue by cost',
    file: 'routing/dist/lib/fair-queue.js',
    from: 'job.cost / this.getWeight(team)',
    to: '1 / this.getWeight(team)',
    test: 'routing/dist/test/fair-queue_test.js'
  },
  {
    mechanism: 'bound on burst credit',
    file: 'routing/dist/lib/fair-queue.js',
    from: 'this.options.burstCredit / this.getWeight(team);',
    to: '1e9;',
    test: 'routing/dist/test/fair-queue_test.js'
  },
  {
    mechanism: 'dynamic thresholds of places',
    file: 'routing/dist/lib/admission.js',
    from: '< this.getFreeFactor(team) * free',
    to: '< Infinity',
    test: 'routing/dist/test/admission_test.js'
  },
  {
    mechanism: 'retry budget',
    file: 'routing/dist/lib/pipeline-run.js',
    from: '&& !this.retryBudget.take()',
    to: '&& false',
    test: 'routing/dist/test/pipeline-run_test.js'
  },
  {
    mechanism: 'endpoints lost earlier used again',
    file: 'routing/dist/lib/pipeline-run.js',
    from: 'this.source.pickReplacement(stage.endpoint, justLost)',
    to: 'undefined',
    test: 'routing/dist/test/pipeline-run_test.js'
  },
  {
    mechanism: 'not run only if every attempt proves it',
    file: 'routing/dist/lib/attempt-outcomes.js',
    from: 'if (this.unknown === undefined ||',
    to: 'if (true ||',
    test: 'routing/dist/test/attempt-outcomes_test.js'
  },
  {
    mechanism: 'restarted endpoints asked once more',
    file: 'routing/dist/lib/service-attempts.js',
    from: 'this.tried.delete(endpoint);',
    to: '',
    test: 'routing/dist/test/service-attempts_test.js'
  },
  {
    mechanism: 'calls without a connection known not to have run',
    file: 'clementineloft/dist/lib/peers/unary-client.js',
    from: '|^No connection established/',
    to: '/',
    test: 'clementineloft/dist/test/unary-client_test.js'
  },
  {
    mechanism: 'pause before a run begins anew',
    file: 'routing/dist/lib/pipeline-run.js',
    from: 'this.setTimer(this.options.restartPauseMs,',
    to: 'this.setTimer(0,',
    test: 'routing/dist/test/pipeline-run_test.js'
  },
  {
    mechanism: 'runs given up by time, not by count',
    file: 'routing/dist/lib/loss-limit.js',
    from: 'if (nowMs - this.lastTokenMs >= this.maxSilenceMs)',
    to: 'if (true)',
    test: 'routing/dist/test/loss-limit_test.js'
  },
  {
    mechanism: 'lost repeats settled by their key',
    file: 'coordination/dist/lib/call-gate.js',
    from: "const identity = key === '' ?",
    to: 'const identity = true ?',
    test: 'coordination/dist/test/call-gate_test.js'
  },
  {
    mechanism: 'lease checked before an order',
    file: 'coordination/dist/lib/fenced-lease.js',
    from: 'throw createError(ErrorKind.superseded',
    to: 'return this.fence; createError(ErrorKind.superseded',
    test: 'stand-ins/dist/test/engine-orders_test.js'
  },
  {
    mechanism: 'orders read back and corrected',
    file: 'routing/dist/lib/engine-orders.js',
    from: 'this.loaded = await this.engine.readLoaded();\n            this.lastFault',
    to: 'this.loaded ??= await this.engine.readLoaded();\n            this.lastFault',
    test: 'stand-ins/dist/test/engine-orders_test.js'
  },
  {
    mechanism: 'events of an abandoned attempt ignored',
    file: 'clementineloft/dist/lib/forwarding/answer-relay.js',
    from: 'if (!this.isCurrent())',
    to: 'if (false)',
    test: 'clementineloft/dist/test/answer-relay_test.js'
  },
  {
    mechanism: 'answers that were cut do not look whole',
    file: 'clementineloft/dist/lib/forwarding/answer-relay.js',
    from: 'return this.response.complete &&',
    to: 'return true ||',
    test: 'clementineloft/dist/test/answer-relay_test.js'
  },
  {
    mechanism: 'streams that end within an event are cut',
    file: 'clementineloft/dist/lib/forwarding/answer-relay.js',
    from: '&& splitter.getRest().length === 0',
    to: '',
    test: 'clementineloft/dist/test/answer-relay_test.js'
  },
  {
    mechanism: 'forwarded calls at most once',
    file: 'routing/dist/lib/calls/attempt-rule.js',
    from: 'if (state.hasMaybeRun && !canRunAgain(state.route))',
    to: 'if (false)',
    test: 'routing/dist/test/calls_test.js'
  },
  {
    mechanism: 'attempts of a forwarded call bounded',
    file: 'routing/dist/lib/calls/attempt-rule.js',
    from: 'state.runs >= state.route.maxAttempts ||',
    to: '',
    test: 'routing/dist/test/calls_test.js'
  },
  {
    mechanism: 'repeats counted in a sliding span',
    file: 'routing/dist/lib/calls/retry-window.js',
    from: 'this.repeatTimes.push(this.clock.now());',
    to: '',
    test: 'routing/dist/test/calls_test.js'
  },
  {
    mechanism: 'rivals first in the waiting line',
    file: 'routing/dist/lib/calls/waiting-line.js',
    from: 'getUsed(a) - getUsed(b)',
    to: '0',
    test: 'routing/dist/test/calls_test.js'
  },
  {
    mechanism: 'failing endpoints left out longer',
    file: 'routing/dist/lib/calls/endpoint-health.js',
    from: '2 ** state.absences',
    to: '1',
    test: 'routing/dist/test/calls_test.js'
  },
  {
    mechanism: 'no endpoint twice on a path',
    file: 'routing/dist/lib/layers/layer-path.js',
    from: 'hasVisited(step, candidate)',
    to: 'false',
    test: 'routing/dist/test/layer-path_test.js'
  },
  {
    mechanism: 'own requests counted once for every entry',
    file: 'routing/dist/lib/layers/path-costs.js',
    from: 'Math.max(others.tokenLayers, work.sent.tokenLayers * (this.entries - 1))',
    to: 'others.tokenLayers',
    test: 'routing/dist/test/layer-path_test.js'
  },
  {
    mechanism: 'absence told by the last look',
    file: 'routing/dist/lib/layers/layout-policy.js',
    from: 'seenMs < this.observedMs',
    to: 'seenMs <= this.observedMs',
    test: 'routing/dist/test/layout-policy_test.js'
  },
  {
    mechanism: 'groups widened over gaps',
    file: 'routing/dist/lib/layers/layer-layout.js',
    from: 'while (widenOne(group, known, engine))',
    to: 'while (false)',
    test: 'routing/dist/test/layer-layout_test.js'
  },
  {
    mechanism: 'removals held after an outage',
    file: 'coordination/dist/lib/kind-replica.js',
    from: 'if (holdMs <= 0)',
    to: 'if (true)',
    test: 'coordination/dist/test/kind-replica_test.js'
  },
  {
    mechanism: 'stale copies found by their checksum',
    file: 'coordination/dist/lib/kind-replica.js',
    from: 'if (checksum === this.computeChecksum())',
    to: 'if (true)',
    test: 'coordination/dist/test/kind-replica_test.js'
  },
  {
    mechanism: 'a paused holder does not trust its lease',
    file: 'coordination/dist/lib/timed-lease.js',
    from: 'this.clock.now() - this.confirmedMs < this.termMs * 0.8',
    to: 'true',
    test: 'coordination/dist/test/timed-lease_test.js'
  }
]
