/**
 * Runs one stand-in as a process: `stand-in platform PORT`, `stand-in engine PORT STEP_MS` or
 * `stand-in booking PORT BOOKING_MS`.
 */
import { BookingServer } from './lib/booking-server.js'
import { EngineServer } from './lib/engine-server.js'
import { PlatformServer } from './lib/platform-server.js'

const crashExitCode = 139
const [kind, port, durationMs] = process.argv.slice(2)

const servers = {
  platform: () => new PlatformServer(),
  engine: () => new EngineServer(Number(durationMs ?? 0), () => { process.exit(crashExitCode) }),
  booking: () => new BookingServer(Number(durationMs ?? 0))
}

void servers[kind as keyof typeof servers]().start(Number(port))
