/**
 * The part of the demo on the emulated platform: a stream that continues after the crash of an endpoint on its path, and
 * a booking whose answer is lost, for which the caller gets status 502 and no second execution takes place.
 */
import { setTimeout as wait } from 'node:timers/promises'
import { computeEvent, AnswerFault } from './emulator/emulated-call.js'
import { sendCall } from './emulator/emulated-caller.js'
import { emulatedHost, emulatedKeys, EmulatedPlatform } from './emulator/emulated-platform.js'
import { emulatedModel } from './emulator/emulated-worker.js'

const crashAfterMs = 120

const computeExpectedBody = (target: string, body: string): string =>
  Array.from({ length: emulatedModel.events }, (_, index) => computeEvent({ target, body }, index + 1)).join('')

/**
 * Runs this part of the demo.
 *
 * @param print - prints a line
 * @returns whether both answers were as expected
 */
export const runPlatformDemo = async (print: (text: string) => void): Promise<boolean> => {
  const platform = new EmulatedPlatform({ network: '127.81', entries: 2, workers: 6, services: 2 })
  try {
    await platform.start()
    print(`started 2 entries, ${platform.workers.length} sidecars, ${platform.workers.length} model endpoints, 2 booking services and a store`)
    const call = { address: platform.getEntryAddress(1), host: emulatedHost, key: emulatedKeys.prairie }
    const stream = sendCall({ ...call, target: '/streams/demo', body: 'walk', headers: { 'token-usage': '100,60' } })
    await wait(crashAfterMs)
    platform.workers[1]?.crash()
    const answer = await stream
    const isCorrect = answer.isComplete && answer.body === computeExpectedBody('/streams/demo', 'walk')
    print(`stream during the crash of an endpoint: status ${answer.status}, ${isCorrect ? 'complete, no event repeated or missing' : 'WRONG'}, longest pause ${Math.round(answer.longestPauseMs)} ms`)
    for (const service of platform.services) service.answerFaults.push(AnswerFault.lostAnswer)
    const booking = await sendCall({ ...call, target: '/bookings/demo', body: 'slot' })
    const runs = platform.services.flatMap((service) => service.runs).filter((id) => id === booking.id).length
    print(`booking whose answer is lost: status ${booking.status}, executed ${runs} time(s)`)
    return isCorrect && booking.status === 502 && runs === 1
  } finally {
    await platform.stop()
  }
}
