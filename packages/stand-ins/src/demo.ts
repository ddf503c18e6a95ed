/**
 * The demo: starts a small system on loopback, sends a chat request and a booking, checks both answers, stops the system,
 * and then runs a second part on the emulated platform.
 */
import { callService, isCorrect, streamChat } from './lib/caller.js'
import { runPlatformDemo } from './demo-platform.js'
import { DemoFleet } from './lib/demo-fleet.js'

const prompt = 'Plan a walk for three dogs along the river.'
const maxTokens = 24

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

const showRowCounts = async (fleet: DemoFleet, request: string): Promise<void> => {
  for (const sidecar of fleet.sidecars) {
    const response = await fetch(`${sidecar.url}/rows`)
    const rows = (await response.json() as Record<string, number>)[request]
    if (rows !== undefined) print(`  ${sidecar.name} ran its layers for ${rows} positions`)
  }
}

const runDemo = async (fleet: DemoFleet): Promise<boolean> => {
  await fleet.start()
  print(`started ${fleet.entries.length} entries, ${fleet.sidecars.length + fleet.workers.length} sidecars, ${fleet.sidecars.length} engines, 1 booking service`)
  const [first, second] = fleet.entries.map((entry) => entry.url) as [string, string]
  const answer = await streamChat(first, prompt, maxTokens)
  print(`chat: status ${answer.status}, ${answer.tokenMs.length} tokens: ${answer.text.slice(0, 60)}…`)
  await showRowCounts(fleet, answer.request)
  const isAnswerCorrect = isCorrect(answer, prompt, fleet.layers, maxTokens)
  print(`answer ${isAnswerCorrect ? 'equals' : 'DIFFERS FROM'} the independent computation`)
  const booking = await callService(second, 'POST', '/bookings/slots', { park: 'Meewasin' }, 'demo-booking-1')
  const repeat = await callService(first, 'POST', '/bookings/slots', { park: 'Meewasin' }, 'demo-booking-1')
  const ledger = await (await fetch(`${fleet.workers[0]?.url}/ledger`)).json() as unknown[]
  const isBookedOnce = booking.status === 201 && repeat.body['number'] === booking.body['number'] && ledger.length === 1
  print(`booking: status ${booking.status}, number ${String(booking.body['number'])}; repeated through the other entry: same answer, ${ledger.length} in the ledger`)
  return isAnswerCorrect && isBookedOnce
}

const fleet = new DemoFleet({ entries: 2, endpointsPerStage: 2, engineStepMs: 2, bookingMs: 2 })

let isPassed = false
try {
  isPassed = await runDemo(fleet)
} catch (error) {
  print(`failed: ${error instanceof Error ? error.message : String(error)}; logs are in ${fleet.processes.folder}`)
} finally {
  await fleet.stop()
}
if (isPassed) {
  print('on the emulated platform:')
  isPassed = await runPlatformDemo(print)
}
print(isPassed ? 'demo passed' : 'demo FAILED')
process.exitCode = isPassed ? 0 : 1
