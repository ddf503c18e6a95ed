/**
 * Failures of stages in the middle of a stream: killed, frozen or partitioned processes. A fault in the failover shows as
 * a wrong or incomplete answer, as repeated work on the remaining endpoints, or as a long gap between tokens.
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
const maxKillRecoveryMs = 1000
const maxFreezeRecoveryMs = 3000
const testedTokens = [1, Math.floor(maxTokens / 2), maxTokens - 2]
const cooldownMs = 3200

interface FaultedStream {
  prompt: string
  answer: StreamedAnswer
  /** Whether the answer equals an independent computation. */
  isAnswerCorrect: boolean
}

let promptCount = 0

const createPrompt = (): string => `Plan walk number ${++promptCount} for three dogs.`

const computeMaxTokenGap = (answer: StreamedAnswer): number =>
  answer.tokenMs.reduce((maxGap, ms, index) => Math.max(maxGap, ms - (answer.tokenMs[index - 1] ?? 0)), 0)

/** Counts the rows that unaffected engines ran beyond one for each position. */
const countRepeatedRows = async (
  fleet: DemoFleet,
  faultedStream: FaultedStream,
  faultedNames: readonly string[]
): Promise<number> => {
  const positionsRun = encodeText(`user: ${faultedStream.prompt}`).length + maxTokens - 1
  let repeated = 0
  for (const sidecar of fleet.sidecars.filter((candidate) => !faultedNames.includes(candidate.name))) {
    const rows = await (await fetch(`${sidecar.url}/rows`)).json() as Record<string, number>
    repeated += Math.max(0, (rows[faultedStream.answer.request] ?? 0) - positionsRun)
  }
  return repeated
}

/** Runs one stream, injects a fault into its stages when a token arrives, and checks the answer. */
const runFaultedStream = async (
  fleet: DemoFleet,
  atToken: number,
  injectFault: (pipeline: string[]) => Promise<void> | void
): Promise<FaultedStream> => {
  const prompt = createPrompt()
  let injection: Promise<void> | undefined
  const answer = await streamChat(fleet.entries[0]?.url as string, prompt, maxTokens, (count) => {
    if (count !== atToken) return
    injection = (async () => { await injectFault(await listActiveSidecars(fleet)) })()
  })
  await injection
  return { prompt, answer, isAnswerCorrect: isCorrect(answer, prompt, fleet.layers, maxTokens) }
}

/** Lists the sidecars that currently have a session, in order of stages. */
const listActiveSidecars = async (fleet: DemoFleet): Promise<string[]> => {
  const running: string[] = []
  await Promise.all(fleet.sidecars.map(async (sidecar) => {
    try {
      const text = await (await fetch(`${sidecar.adminUrl}/metrics`, { signal: AbortSignal.timeout(500) })).text()
      if (/^stage_sessions [1-9]/m.test(text)) running.push(sidecar.name)
    } catch {
      // Killed and frozen sidecars are not candidates for further faults.
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
    await fleet.processes.waitForExit(name)
    await fleet.processes.waitForExit(`${name}-engine`)
    fleet.relays.get(name)?.clearFault()
    fleet.startEngine(name)
    fleet.startProgram(name)
  }
  await Promise.all(names.map(async (name) => { await waitForUrl(`${fleet.find(name).adminUrl}/readyz`) }))
  await wait(cooldownMs)
}

/** Injects a fault at each given token of a stream, for each given set of stages. */
const runAtEachPosition = async (
  fleet: DemoFleet,
  stagesAtOnce: ReadonlyArray<readonly number[]>,
  atTokens: readonly number[],
  injectFault: (name: string) => Promise<void> | void
): Promise<FaultResult> => {
  const recoveryMs: number[] = []
  const wrong: string[] = []
  let repeated = 0
  for (const stages of stagesAtOnce) {
    for (const atToken of atTokens) {
      let faultedNames: string[] = []
      const stream = await runFaultedStream(fleet, atToken, async (pipeline) => {
        faultedNames = stages.map((stage) => pipeline.find((name) => name.startsWith(`stage-${stage}`)) as string)
        await Promise.all(faultedNames.map(async (name) => { await injectFault(name) }))
      })
      const { answer, isAnswerCorrect } = stream
      recoveryMs.push(computeMaxTokenGap(answer))
      if (!isAnswerCorrect) wrong.push(`stages ${stages.join('+')} at token ${atToken}: ${answer.error ?? `${answer.tokenMs.length} tokens, differs`}`)
      repeated += await countRepeatedRows(fleet, stream, faultedNames)
      await restartMembers(fleet, faultedNames)
    }
  }
  const observation = wrong.length === 0 ? `all ${recoveryMs.length} answers correct` : wrong.join('; ')
  return { isGuaranteeMet: wrong.length === 0 && repeated === 0, observation: `${observation}; unaffected engines ran ${repeated} rows twice`, recoveryMs }
}

const kill = (fleet: DemoFleet, suffix: string) => (name: string): void => {
  fleet.processes.signal(`${name}${suffix}`, 'SIGKILL')
}

const singleStages = [[0], [1], [2]]

const cases: FaultCase[] = [
  {
    name: 'engine killed',
    injectedFault: 'SIGKILL to one engine, each stage, first, middle and last token',
    maxRecoveryMs: maxKillRecoveryMs,
    run: async (fleet) => await runAtEachPosition(fleet, singleStages, testedTokens, kill(fleet, '-engine'))
  },
  {
    name: 'sidecar killed',
    injectedFault: 'SIGKILL to one sidecar, each stage, first, middle and last token',
    maxRecoveryMs: maxKillRecoveryMs,
    run: async (fleet) => await runAtEachPosition(fleet, singleStages, testedTokens, kill(fleet, ''))
  },
  {
    name: 'two stages killed',
    injectedFault: 'SIGKILL to two sidecars at once, each pair, middle token',
    maxRecoveryMs: maxKillRecoveryMs,
    run: async (fleet) => await runAtEachPosition(fleet, [[0, 1], [1, 2], [0, 2]], [20], kill(fleet, ''))
  },
  {
    name: 'sidecar frozen',
    injectedFault: 'SIGSTOP to one sidecar, each stage, middle token',
    maxRecoveryMs: maxFreezeRecoveryMs,
    run: async (fleet) => await runAtEachPosition(fleet, singleStages, [20], (name) => { fleet.processes.signal(name, 'SIGSTOP') })
  },
  {
    name: 'engine frozen',
    injectedFault: 'SIGSTOP to one engine, each stage, middle token',
    maxRecoveryMs: maxFreezeRecoveryMs,
    run: async (fleet) => await runAtEachPosition(fleet, singleStages, [20], (name) => { fleet.processes.signal(`${name}-engine`, 'SIGSTOP') })
  },
  {
    name: 'sidecar cut off',
    injectedFault: 'all bytes towards one sidecar dropped, each stage, middle token',
    maxRecoveryMs: maxFreezeRecoveryMs,
    run: async (fleet) => await runAtEachPosition(fleet, singleStages, [20], (name) => { fleet.relays.get(name)?.setFault(RelayFault.silent) })
  },
  {
    name: 'frozen sidecar wakes',
    injectedFault: 'SIGSTOP to a middle sidecar, SIGCONT after its replacement took over',
    run: async (fleet) => {
      let frozen = ''
      const { isAnswerCorrect, answer } = await runFaultedStream(fleet, 10, (pipeline) => {
        frozen = pipeline.find((name) => name.startsWith('stage-1')) as string
        fleet.processes.signal(frozen, 'SIGSTOP')
        setTimeout(() => { fleet.processes.signal(frozen, 'SIGCONT') }, 1600)
      })
      await restartMembers(fleet, [frozen])
      return { isGuaranteeMet: isAnswerCorrect, observation: isAnswerCorrect ? 'answer correct' : `wrong: ${answer.error ?? 'differs'}`, recoveryMs: [computeMaxTokenGap(answer)] }
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
          await killMiddle((await listActiveSidecars(fleet)).filter((name) => !killed.includes(name)))
        }
      }
      const { isAnswerCorrect, answer } = await runFaultedStream(fleet, 10, killMiddle)
      await restartMembers(fleet, killed)
      const observation = `${killed.length} killed; answer ${isAnswerCorrect ? 'correct' : `wrong: ${answer.error ?? 'differs'}`}`
      return { isGuaranteeMet: isAnswerCorrect && killed.length === 2, observation, recoveryMs: [computeMaxTokenGap(answer)] }
    }
  },
  {
    name: 'many streams, random kills',
    injectedFault: '200 streams at once, one sidecar killed every 500 ms and started again',
    run: async (fleet) => {
      const prompts = Array.from({ length: 200 }, createPrompt)
      const progress = { isFinished: false }
      const killing = (async () => {
        for (let round = 0; !progress.isFinished && round < 20; round++) {
          const killedSidecar = fleet.sidecars[(round * 4) % fleet.sidecars.length]?.name as string
          fleet.processes.signal(killedSidecar, 'SIGKILL')
          await fleet.processes.waitForExit(killedSidecar)
          fleet.startProgram(killedSidecar)
          await wait(500)
        }
      })()
      const urls = fleet.entries.map((entry) => entry.url)
      const answers = await Promise.all(prompts.map(async (prompt, index) => await streamChat(urls[index % urls.length] as string, prompt, maxTokens)))
      progress.isFinished = true
      await killing
      const correct = answers.filter((answer, index) => isCorrect(answer, prompts[index] as string, fleet.layers, maxTokens)).length
      const failed = answers.filter((answer) => answer.error !== undefined).length
      const wrongSilently = answers.length - correct - failed
      const reason = answers.find((answer) => answer.error !== undefined)?.error ?? ''
      return { isGuaranteeMet: wrongSilently === 0 && failed === 0, observation: `${correct} correct, ${failed} failed with an error, ${wrongSilently} wrong without an error ${reason}`, recoveryMs: answers.map(computeMaxTokenGap) }
    }
  }
]

/** Failures of stages during streams. */
export const streamSuite: FaultSuite = { name: 'layers exactly once', createFleet: () => createFaultFleet(3, 1), cases }
