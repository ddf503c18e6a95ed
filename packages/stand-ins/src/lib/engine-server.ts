/**
 * A model engine that runs as a process. It rejects positions out of order, counts the rows that it runs for each
 * request, and crashes on a prompt that contains the word `crash-the-engine`.
 */
import type { Server } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { decodeOutput, encodeText, encodeToken, LayerFold } from './model-fold.js'
import { startStandInServer } from './stand-in-server.js'
import type { StandInReply, StandInRequest } from './stand-in-server.js'

/** Word that crashes the engine if a prompt contains it. */
export const crashTrigger = 'crash-the-engine'

interface EngineSession {
  fold: LayerFold
  nextPosition: number
}

interface WireStep {
  session: string
  firstLayer: number
  lastLayer: number
  isLastStage: boolean
  position: number
  rows: string[]
}

const crashRow = Buffer.from(encodeToken(0xffff_ffff)).toString('base64')

/** Runs batched steps of many requests. */
export class EngineServer {
  private readonly sessions = new Map<string, EngineSession>()
  private readonly rowCounts = new Map<string, number>()
  private loaded: object | undefined
  private maxFence = 0

  /**
   * @param stepMs - processing time of a step, in milliseconds
   * @param crash - called when the row of a poison request arrives
   */
  constructor (
    private readonly stepMs: number,
    private readonly crash: () => void
  ) {}

  /** @param port - port to listen on */
  async start (port: number): Promise<Server> {
    return await startStandInServer(port, async (request) => await this.handle(request))
  }

  private async handle (request: StandInRequest): Promise<StandInReply | null> {
    const { pathname } = request.url
    if (pathname === '/rows') return { status: 200, body: Object.fromEntries(this.rowCounts) }
    if (pathname === '/v1/loaded') return this.handleLoaded(request)
    if (pathname === '/v1/health') return { status: 200, body: {} }
    const body = JSON.parse(request.body) as { text: string, session: string, steps: WireStep[] }
    if (pathname === '/v1/encode') return { status: 200, body: { rows: this.encode(body.text) } }
    if (pathname === '/v1/end') {
      this.sessions.delete(body.session)
      return { status: 200, body: {} }
    }
    if (body.steps.some((step) => step.rows.includes(crashRow))) {
      this.crash()
      return null
    }
    if (this.stepMs > 0) await wait(this.stepMs)
    return { status: 200, body: { results: body.steps.map((step) => this.runStep(step)) } }
  }

  /** Reports the loaded layers and executes load orders; orders with an outdated fencing token are rejected. */
  private handleLoaded (request: StandInRequest): StandInReply {
    if (request.method === 'GET') return this.loaded === undefined ? { status: 404 } : { status: 200, body: this.loaded }
    const { fence, ...layers } = JSON.parse(request.body) as { fence: number }
    if (fence < this.maxFence) return { status: 409 }
    this.maxFence = fence
    this.loaded = layers
    return { status: 200, body: layers }
  }

  private encode (text: string): string[] {
    const rows = encodeText(text).map((row) => Buffer.from(row).toString('base64'))
    return text.includes(crashTrigger) ? [...rows, crashRow] : rows
  }

  private runStep (step: WireStep): object {
    const { session, position, firstLayer, lastLayer, isLastStage } = step
    const request = session.slice(0, session.lastIndexOf('.'))
    const state = this.sessions.get(session) ?? { fold: new LayerFold(request), nextPosition: 0 }
    this.sessions.set(session, state)
    if (position !== state.nextPosition) return { session, position, error: `expected position ${state.nextPosition}` }
    const outputs = step.rows.map((row, index) => {
      let activation: Uint8Array = Buffer.from(row, 'base64')
      for (let layer = firstLayer; layer <= lastLayer; layer++) activation = state.fold.run(layer, position + index, activation)
      return activation
    })
    state.nextPosition += outputs.length
    this.rowCounts.set(request, (this.rowCounts.get(request) ?? 0) + outputs.length)
    if (!isLastStage) return { session, position, rows: outputs.map((row) => Buffer.from(row).toString('base64')) }
    const tokens = outputs.map((row) => {
      const { id, text } = decodeOutput(row)
      return { row: Buffer.from(encodeToken(id)).toString('base64'), text, isLast: false }
    })
    return { session, position, tokens }
  }
}
