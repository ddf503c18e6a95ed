/**
 * Stages die, freeze or are cut off in the middle of a stream.
 */
import { setTimeout as wait } from 'node:timers/promises'
import { isCorrect, streamChat } from '../lib/caller.js'
import type { StreamedAnswer } from '../lib/caller.js'
import type { DemoFleet } from '../lib/demo-fleet.js'
import { RelayFault } from '../lib/relay.js'
import { encodeText } from '../lib/model-fold.js'
import { waitForUrl } from '../lib/process-group.js'
import { createFaultFleet } from './fault-case.js'
import type { FaultCase, FaultResult, FaultSuite } from './fault-case.js'

const maxTokens = 40
const killBoundMs = 1000
const freezeBoundMs = 3000
const positions = [1, Math.floor(maxTokens / 2), maxTokens - 2]
const cooldownMs = 3200

interface HarmedStream {
  prompt: string
  answer: StreamedAnswer
  /** Whether the answer equals the independent computation. */
  isRight: boolean
}

let promptCount = 0

const createPrompt = (): string => `Plan walk number ${++promptCount} for three dogs.`

const computeLongestGap = (answer: StreamedAnswer): number =>
  answer.tokenMs.reduce((longest, ms, index) => Math.max(longest, ms - (answer.tokenMs[index - 1] ?? 0)), 0)

/** Counts rows that surviving engines ran beyond one for each position. */
const countRepeated = async (
  fleet: DemoFleet,
  harmedStream: HarmedStream,
  harmed: readonly string[]
): Promise<number> => {
  const positionsRun = encodeText(`user: ${harmedStream.prompt}`).length + maxTokens - 1
  let repeated = 0
  for (const sidecar of fleet.sidecars.filter((candidate) => !harmed.includes(candidate.name))) {
    const rows = await (await fetch(`${sidecar.url}/rows`)).json() as Record<string, number>
    repeated += Math.max(0, (rows[harmedStream.answer.request] ?? 0) - positionsRun)
  }
  return repeated
}

/** Harms the stages of one stream at a token and checks the answer. */
const harmStream = async (
  fleet: DemoFleet,
  atToken: number,
  harm: (pipeline: string[]) => Promise<void> | void
): Promise<HarmedStream> => {
  const prompt = createPrompt()
  let harmed: Promise<void> | undefined
  const answer = await streamChat(fleet.entries[0]?.url as string, prompt, maxTokens, (count) => {
    if (count !== atToken) return
    harmed = (async () => { await harm(await findRunning(fleet)) })()
  })
  await harmed
  return { prompt, answer, isRight: isCorrect(answer, prompt, fleet.layers, maxTokens) }
}

/** Lists the endpoints that hold a request at the moment, in order of stages. */
const findRunning = async (fleet: DemoFleet): Promise<string[]> => {
  const running: string[] = []
  await Promise.all(fleet.sidecars.map(async (sidecar) => {
    try {
      const text = await (await fetch(`${sidecar.adminUrl}/metrics`, { signal: AbortSignal.timeout(500) })).text()
      if (/^stage_sessions [1-9]/m.test(text)) running.push(sidecar.name)
    } catch {
      // A sidecar that was killed or frozen holds nothing that matters here.
    }
  }))
  return running.sort()
}

const restartMembers = async (fleet: DemoFleet, names: readonly string[]): Promise<void> => {
  for (const name of names) {
    fleet.processes.signal(name, 'SIGCONT')
    fleet.processes.signal(`${name}-engine`, 'SIGCONT')
    fleet.processes.signal(name, 'SIGKILL')
    fleet.processes.signal(`${name}-engine`, 'SIGKILL')
    await fleet.processes.waitForEnd(name)
    await fleet.processes.waitForEnd(`${name}-engine`)
    fleet.relays.get(name)?.heal()
    fleet.startEngine(name)
    fleet.startProgram(name)
  }
  await Promise.all(names.map(async (name) => { await waitForUrl(`${fleet.find(name).adminUrl}/readyz`) }))
  await wait(cooldownMs)
}

/** Runs a harm at each position of a stream, for each stage. */
const runAtEachPosition = async (
  fleet: DemoFleet,
  stagesAtOnce: ReadonlyArray<readonly number[]>,
  atTokens: readonly number[],
  harm: (name: string) => Promise<void> | void
): Promise<FaultResult> => {
  const recoveryMs: number[] = []
  const wrong: string[] = []
  let repeated = 0
  for (const stages of stagesAtOnce) {
    for (const atToken of atTokens) {
      let harmed: string[] = []
      const stream = await harmStream(fleet, atToken, async (pipeline) => {
        harmed = stages.map((stage) => pipeline.find((name) => name.startsWith(`stage-${stage}`)) as string)
        await Promise.all(harmed.map(async (name) => { await harm(name) }))
      })
      const { answer, isRight } = stream
      recoveryMs.push(computeLongestGap(answer))
      if (!isRight) wrong.push(`stages ${stages.join('+')} at token ${atToken}: ${answer.error ?? `${answer.tokenMs.length} tokens, differs`}`)
      repeated += await countRepeated(fleet, stream, harmed)
      await restartMembers(fleet, harmed)
    }
  }
  const seen = wrong.length === 0 ? `all ${recoveryMs.length} answers right` : wrong.join('; ')
  return { isKept: wrong.length === 0 && repeated === 0, seen: `${seen}; survivors ran ${repeated} rows twice`, recoveryMs }
}

const kill = (fleet: DemoFleet, suffix: string) => (name: string): void => {
  fleet.processes.signal(`${name}${suffix}`, 'SIGKILL')
}

const singles = [[0], [1], [2]]

const cases: FaultCase[] = [
  {
    name: 'engine killed',
    injectedFault: 'SIGKILL to one engine, each stage, first, middle and last token',
    recoveryBoundMs: killBoundMs,
    run: async (fleet) => await runAtEachPosition(fleet, singles, positions, kill(fleet, '-engine'))
  },
  {
    name: 'sidecar killed',
    injectedFault: 'SIGKILL to one sidecar, each stage, first, middle and last token',
    recoveryBoundMs: killBoundMs,
    run: async (fleet) => await runAtEachPosition(fleet, singles, positions, kill(fleet, ''))
  },
  {
    name: 'two stages killed',
    injectedFault: 'SIGKILL to two sidecars at once, each pair, middle token',
    recoveryBoundMs: killBoundMs,
    run: async (fleet) => await runAtEachPosition(fleet, [[0, 1], [1, 2], [0, 2]], [20], kill(fleet, ''))
  },
  {
    name: 'sidecar frozen',
    injectedFault: 'SIGSTOP to one sidecar, each stage, middle token',
    recoveryBoundMs: freezeBoundMs,
    run: async (fleet) => await runAtEachPosition(fleet, singles, [20], (name) => { fleet.processes.signal(name, 'SIGSTOP') })
  },
  {
    name: 'engine frozen',
    injectedFault: 'SIGSTOP to one engine, each stage, middle token',
    recoveryBoundMs: freezeBoundMs,
    run: async (fleet) => await runAtEachPosition(fleet, singles, [20], (name) => { fleet.processes.signal(`${name}-engine`, 'SIGSTOP') })
  },
  {
    name: 'sidecar cut off',
    injectedFault: 'all bytes towards one sidecar dropped, each stage, middle token',
    recoveryBoundMs: freezeBoundMs,
    run: async (fleet) => await runAtEachPosition(fleet, singles, [20], (name) => { fleet.relays.get(name)?.harm(RelayFault.silent) })
  },
  {
    name: 'frozen sidecar wakes',
    injectedFault: 'SIGSTOP to a middle sidecar, SIGCONT after its replacement took over',
    run: async (fleet) => {
      let frozen = ''
      const { isRight, answer } = await harmStream(fleet, 10, (pipeline) => {
        frozen = pipeline.find((name) => name.startsWith('stage-1')) as string
        fleet.processes.signal(frozen, 'SIGSTOP')
        setTimeout(() => { fleet.processes.signal(frozen, 'SIGCONT') }, 1600)
      })
      await restartMembers(fleet, [frozen])
      return { isKept: isRight, seen: isRight ? 'answer right' : `wrong: ${answer.error ?? 'differs'}`, recoveryMs: [computeLongestGap(answer)] }
    }
  },
  {
    name: 'replacement killed too',
    injectedFault: 'SIGKILL to a middle sidecar, then to the one that replaced it',
    run: async (fleet) => {
      const killed: string[] = []
      const killMiddle = async (pipeline: string[]): Promise<void> => {
        const middle = pipeline.find((name) => name.startsWith('stage-1') && !killed.includes(name))
        if (middle === undefined) return
        killed.push(middle)
        fleet.processes.signal(middle, 'SIGKILL')
        if (killed.length > 1) return
        for (let attempt = 0; attempt < 50 && killed.length < 2; attempt++) {
          await wait(10)
          await killMiddle((await findRunning(fleet)).filter((name) => !killed.includes(name)))
        }
      }
      const { isRight, answer } = await harmStream(fleet, 10, killMiddle)
      await restartMembers(fleet, killed)
      const seen = `${killed.length} killed; answer ${isRight ? 'right' : `wrong: ${answer.error ?? 'differs'}`}`
      return { isKept: isRight && killed.length === 2, seen, recoveryMs: [computeLongestGap(answer)] }
    }
  },
  {
    name: 'many streams, random kills',
    injectedFault: '200 streams at once, one sidecar killed every 500 ms and started again',
    run: async (fleet) => {
      const prompts = Array.from({ length: 200 }, createPrompt)
      const progress = { isOver: false }
      const killing = (async () => {
        for (let round = 0; !progress.isOver && round < 20; round++) {
          const victim = fleet.sidecars[(round * 4) % fleet.sidecars.length]?.name as string
          fleet.processes.signal(victim, 'SIGKILL')
          await fleet.processes.waitForEnd(victim)
          fleet.startProgram(victim)
          await wait(500)
        }
      })()
      const urls = fleet.entries.map((entry) => entry.url)
      const answers = await Promise.all(prompts.map(async (prompt, index) => await streamChat(urls[index % urls.length] as string, prompt, maxTokens)))
      progress.isOver = true
      await killing
      const right = answers.filter((answer, index) => isCorrect(answer, prompts[index] as string, fleet.layers, maxTokens)).length
      const failed = answers.filter((answer) => answer.error !== undefined).length
      const mixed = answers.length - right - failed
      const reason = answers.find((answer) => answer.error !== undefined)?.error ?? ''
      return { isKept: mixed === 0 && failed === 0, seen: `${right} right, ${failed} failed openly, ${mixed} wrong ${reason}`, recoveryMs: answers.map(computeLongestGap) }
    }
  }
]

/** Failures of stages during streams. */
export const streamSuite: FaultSuite = { name: 'layers exactly once', createFleet: () => createFaultFleet(3, 1), cases }
