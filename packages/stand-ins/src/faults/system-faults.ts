/**
 * Failures around draining instances, configuration changes, concurrent operators, poison requests and platform outages.
 */
import { setTimeout as wait } from 'node:timers/promises'
import { callOperator, isCorrect, streamChat } from '../lib/caller.js'
import type { StreamedAnswer } from '../lib/caller.js'
import type { DemoFleet, FleetMember } from '../lib/demo-fleet.js'
import { otherTeamKey } from '../lib/demo-fleet.js'
import { crashTrigger } from '../lib/engine-server.js'
import { createFaultFleet, restartProgram, restartAfterExit } from './fault-case.js'
import type { FaultCase, FaultSuite } from './fault-case.js'
import { waitUntil } from '../lib/wait-until.js'

const maxTokens = 40
const maxDrainMs = 3000
const maxConfigSpreadMs = 13_000
const longTokens = 600

let promptCount = 0

const createPrompt = (): string => `Notice number ${++promptCount} for the regatta.`

const listMembers = (fleet: DemoFleet): FleetMember[] => [...fleet.entries, ...fleet.sidecars, ...fleet.workers]

const readRevision = async (member: FleetMember): Promise<number> =>
  await fetch(`${member.adminUrl}/status`).then(async (response) => (await response.json() as { revision: number }).revision, () => 0)

/**
 * Waits until every member has a revision.
 *
 * @returns time that it took, in milliseconds, or `undefined` after a timeout
 */
const measureSpread = async (members: readonly FleetMember[], revision: number): Promise<number | undefined> => {
  const startedMs = performance.now()
  const isSpread = await waitUntil(async () => {
    const revisions = await Promise.all(members.map(readRevision))
    return revisions.every((held) => held >= revision)
  }, maxConfigSpreadMs)
  return isSpread ? performance.now() - startedMs : undefined
}

/** Creates and confirms a plan. @returns the resulting revision */
const confirmIntent = async (fleet: DemoFleet, intent: string): Promise<number> => {
  const admin = fleet.entries[0]?.adminUrl as string
  const plan = await callOperator(admin, '/plans', { intent })
  const confirmed = await callOperator(admin, '/confirmations', { plan: plan.body['id'] })
  return Number(confirmed.body['revision'])
}

/** Keeps 12 streams running until the flag is set. @returns all answers */
const streamUntil = async (fleet: DemoFleet, progress: { isFinished: boolean }): Promise<Array<{ prompt: string, answer: StreamedAnswer }>> => {
  const answers: Array<{ prompt: string, answer: StreamedAnswer }> = []
  const streamRepeatedly = async (entry: FleetMember): Promise<void> => {
    while (!progress.isFinished) {
      const prompt = createPrompt()
      answers.push({ prompt, answer: await streamChat(entry.url, prompt, maxTokens) })
    }
  }
  await Promise.all(Array.from({ length: 12 }, async (_, index) => { await streamRepeatedly(fleet.entries[index % 2] as FleetMember) }))
  return answers
}

const countIncorrect = (fleet: DemoFleet, answers: ReadonlyArray<{ prompt: string, answer: StreamedAnswer }>, length = maxTokens): number => {
  const wrong = answers.filter(({ prompt, answer }) => !isCorrect(answer, prompt, fleet.layers, length))
  for (const { answer } of wrong.slice(0, 1)) {
    process.stderr.write(`wrong: request ${answer.request}, status ${answer.status}, ${answer.tokenMs.length} tokens, ${answer.error ?? 'differs'}\n`)
  }
  return wrong.length
}

/** Starts to drain one sidecar under streams, and measures the time until it receives no new work. */
const measureDrain = async (fleet: DemoFleet, name: string, startDrain: () => Promise<void>): Promise<{ isGuaranteeMet: boolean, observation: string, recoveryMs: number[] }> => {
  const progress = { isFinished: false }
  const streaming = streamUntil(fleet, progress)
  await wait(500)
  await startDrain()
  const drainStartMs = performance.now()
  let lastOpenMs = drainStartMs
  let opened = -1
  for (let sample = 0; sample < 60; sample++) {
    const events = await fetch(`${fleet.find(name).adminUrl}/timeline`).then(async (response) => await response.json() as Array<{ name: string }>, () => undefined)
    const count = events?.filter((event) => event.name === 'stage-open').length ?? opened
    if (opened >= 0 && count > opened) lastOpenMs = performance.now()
    opened = count
    await wait(50)
  }
  progress.isFinished = true
  const answers = await streaming
  const wrong = countIncorrect(fleet, answers)
  return { isGuaranteeMet: wrong === 0, observation: `${answers.length} streams, ${wrong} cut or wrong`, recoveryMs: [lastOpenMs - drainStartMs] }
}

const cases: FaultCase[] = [
  {
    name: 'leaving by signal',
    injectedFault: 'SIGTERM to a middle sidecar under 12 streams',
    maxRecoveryMs: maxDrainMs,
    run: async (fleet) => {
      const result = await measureDrain(fleet, 'stage-1a', async () => { fleet.processes.signal('stage-1a', 'SIGTERM') })
      await restartAfterExit(fleet, 'stage-1a')
      return result
    }
  },
  {
    name: 'leaving by list',
    injectedFault: 'the platform lists a sidecar as leaving, under 12 streams',
    maxRecoveryMs: maxDrainMs,
    run: async (fleet) => {
      const result = await measureDrain(fleet, 'stage-1b', async () => { await fleet.setInstanceState('stage-1b', 'leaving') })
      await fleet.setInstanceState('stage-1b', 'live')
      await restartProgram(fleet, 'stage-1b')
      return result
    }
  },
  {
    name: 'leaving by plan',
    injectedFault: 'an operator retires a sidecar under 12 streams',
    maxRecoveryMs: maxDrainMs,
    run: async (fleet) => {
      const result = await measureDrain(fleet, 'stage-1c', async () => { await confirmIntent(fleet, 'retire endpoint stage-1c') })
      await confirmIntent(fleet, 'restore endpoint stage-1c')
      return result
    }
  },
  {
    name: 'stream longer than the grace period',
    injectedFault: 'SIGTERM to every sidecar of one pipeline with 1 s of grace, streams of 600 tokens',
    run: async (fleet) => {
      const prompts = Array.from({ length: 6 }, createPrompt)
      const streaming = Promise.all(prompts.map(async (prompt, index) => await streamChat(fleet.entries[index % 2]?.url as string, prompt, longTokens)))
      await wait(800)
      const leaving = ['stage-0b', 'stage-1b', 'stage-2b']
      for (const name of leaving) fleet.processes.signal(name, 'SIGTERM')
      const answers = (await streaming).map((answer, index) => ({ prompt: prompts[index] as string, answer }))
      const wrong = countIncorrect(fleet, answers, longTokens)
      for (const name of leaving) await restartAfterExit(fleet, name)
      return { isGuaranteeMet: wrong === 0, observation: `${answers.length} streams, ${wrong} cut or wrong`, recoveryMs: [] }
    }
  },
  {
    name: 'entry leaves',
    injectedFault: 'SIGTERM to an entry with 20 streams of 200 tokens',
    run: async (fleet) => {
      const entry = fleet.entries[1] as FleetMember
      const prompts = Array.from({ length: 20 }, createPrompt)
      const streaming = Promise.all(prompts.map(async (prompt) => await streamChat(entry.url, prompt, 200)))
      await wait(400)
      fleet.processes.signal(entry.name, 'SIGTERM')
      const answers = (await streaming).map((answer, index) => ({ prompt: prompts[index] as string, answer }))
      const wrong = countIncorrect(fleet, answers, 200)
      const code = await restartAfterExit(fleet, entry.name)
      return { isGuaranteeMet: wrong === 0 && code === 0, observation: `${wrong} of 20 streams cut, exit code ${code}`, recoveryMs: [] }
    }
  },
  {
    name: 'store down straight after a change',
    injectedFault: 'store answers 503 from the moment that a plan is confirmed; a sidecar is started during the outage',
    maxRecoveryMs: maxConfigSpreadMs,
    run: async (fleet) => {
      const revision = await confirmIntent(fleet, 'set weight of team bramble to 3')
      await fleet.control({ fault: 'down' })
      const spreadMs = await measureSpread(listMembers(fleet), revision)
      fleet.processes.signal('stage-0a', 'SIGKILL')
      await fleet.processes.waitForExit('stage-0a')
      fleet.startProgram('stage-0a')
      const started = await measureSpread([fleet.find('stage-0a')], revision)
      await fleet.control({ fault: 'none' })
      const observation = spreadMs === undefined ? 'not applied by all processes' : `applied by all processes after ${spreadMs.toFixed(0)} ms, by the new process after ${started?.toFixed(0)} ms`
      return { isGuaranteeMet: spreadMs !== undefined && started !== undefined, observation, recoveryMs: [spreadMs ?? maxConfigSpreadMs] }
    }
  },
  {
    name: 'paused process wakes',
    injectedFault: 'SIGSTOP to an entry while three changes are made, then SIGCONT',
    maxRecoveryMs: maxConfigSpreadMs,
    run: async (fleet) => {
      const paused = fleet.entries[1] as FleetMember
      fleet.processes.signal(paused.name, 'SIGSTOP')
      let revision = 0
      for (const weight of [4, 5, 6]) revision = await confirmIntent(fleet, `set weight of team bramble to ${weight}`)
      await wait(1000)
      fleet.processes.signal(paused.name, 'SIGCONT')
      const spreadMs = await measureSpread([paused], revision)
      await wait(2000)
      const minRevision = Math.min(...await Promise.all(listMembers(fleet).map(readRevision)))
      return { isGuaranteeMet: spreadMs !== undefined && minRevision >= revision, observation: `caught up; lowest revision 2 s later is ${minRevision} of ${revision}`, recoveryMs: [spreadMs ?? maxConfigSpreadMs] }
    }
  },
  {
    name: 'operators race',
    injectedFault: '10 conflicting plans confirmed at once through both entries, each twice',
    run: async (fleet) => {
      const admins = fleet.entries.map((entry) => entry.adminUrl)
      const plans = await Promise.all(Array.from({ length: 10 }, async (_, index) =>
        await callOperator(admins[index % 2] as string, '/plans', { intent: `set weight of team thistle to ${index + 20}` })))
      const confirm = async (offset: number): Promise<Array<{ status: number, detail: string }>> => await Promise.all(plans.map(async (plan, index) => {
        const answer = await callOperator(admins[(index + offset) % 2] as string, '/confirmations', { plan: plan.body['id'] })
        return { status: answer.status, detail: String(answer.body['detail'] ?? '') }
      }))
      const confirmations = await Promise.all([confirm(0), confirm(1)])
      const acceptedPlans = confirmations[0].map((answer, index) => [answer, confirmations[1]?.[index]]).filter(([first, second]) => first?.status === 200 || second?.status === 200)
      const explainedRefusals = confirmations.flat().filter((answer) => answer.status === 409 && answer.detail.includes('was changed by plan'))
      const again = await confirm(0)
      const acceptedAgain = again.filter((answer) => answer.status === 200).length
      const observation = `${acceptedPlans.length} plan took effect, ${explainedRefusals.length} refusals name the other plan, confirming again: ${acceptedAgain} accepted`
      return { isGuaranteeMet: acceptedPlans.length === 1 && explainedRefusals.length + 2 >= 20 && acceptedAgain === 1, observation, recoveryMs: [] }
    }
  },
  {
    name: 'answer to a confirmation lost',
    injectedFault: 'store loses the answers to writes while a plan is confirmed, confirmed again afterwards',
    run: async (fleet) => {
      const admin = fleet.entries[0]?.adminUrl as string
      const plan = await callOperator(admin, '/plans', { intent: 'set weight of team thistle to 40' })
      await fleet.control({ fault: 'lost-answers' })
      const first = await callOperator(admin, '/confirmations', { plan: plan.body['id'] })
      await fleet.control({ fault: 'none' })
      const second = await callOperator(admin, '/confirmations', { plan: plan.body['id'] })
      const isSame = first.body['revision'] === second.body['revision']
      return { isGuaranteeMet: first.status === 200 && second.status === 200 && isSame, observation: `first ${first.status}, again ${second.status}, ${isSame ? 'same' : 'different'} revision`, recoveryMs: [] }
    }
  },
  {
    name: 'store down for long',
    injectedFault: 'store down for 15 s under 12 streams; calls to the store counted on its return',
    run: async (fleet) => {
      await fleet.control({ fault: 'down' })
      const progress = { isFinished: false }
      const streaming = streamUntil(fleet, progress)
      await wait(15_000)
      progress.isFinished = true
      const answers = await streaming
      const before = await (await fetch(`${fleet.platformUrl}/calls`)).json() as Record<string, number>
      await fleet.control({ fault: 'none' })
      await wait(1000)
      const after = await (await fetch(`${fleet.platformUrl}/calls`)).json() as Record<string, number>
      const calls = Object.keys(after).reduce((sum, name) => sum + (after[name] as number) - (before[name] as number), 0)
      const wrong = countIncorrect(fleet, answers)
      return { isGuaranteeMet: wrong === 0 && calls <= listMembers(fleet).length, observation: `${answers.length} streams, ${wrong} wrong; ${calls} store calls in the first second after its return, ${listMembers(fleet).length} processes`, recoveryMs: [] }
    }
  },
  {
    name: 'poison',
    injectedFault: 'a request that crashes its engine sent three times through both entries, store down, 30 unrelated streams at once',
    run: async (fleet) => {
      await fleet.control({ fault: 'down' })
      const prompts = Array.from({ length: 30 }, createPrompt)
      const otherStreams = Promise.all(prompts.map(async (prompt, index) => await streamChat(fleet.entries[index % 2]?.url as string, prompt, 100)))
      await wait(100)
      const poisonPrompt = `Please ${crashTrigger}.`
      const answers: StreamedAnswer[] = []
      for (let turn = 0; turn < 3; turn++) answers.push(await streamChat(fleet.entries[turn % 2]?.url as string, poisonPrompt, maxTokens))
      const results = await otherStreams
      const wrong = countIncorrect(fleet, results.map((answer, index) => ({ prompt: prompts[index] as string, answer })), 100)
      let crashed = 0
      for (const sidecar of fleet.sidecars) {
        if (await fetch(`${sidecar.url}/v1/health`).then(() => false, () => true)) crashed++
      }
      const otherTeamAnswer = await streamChat(fleet.entries[0]?.url as string, prompts[0] as string, maxTokens, undefined, otherTeamKey)
      await fleet.control({ fault: 'none' })
      const refused = answers.filter((answer) => answer.status === 422).length
      return {
        isGuaranteeMet: crashed <= 2 && wrong === 0 && refused === 3 && otherTeamAnswer.status === 200,
        observation: `${crashed} engines crashed, refused ${refused} of 3 times, ${wrong} of 30 unrelated streams wrong, other team answered ${otherTeamAnswer.status}`,
        recoveryMs: []
      }
    }
  }
]

/** Failures around draining, configuration, operators, poison requests and the platform. */
export const systemSuite: FaultSuite = { name: 'system', createFleet: () => createFaultFleet(3, 2, 1000), cases }
