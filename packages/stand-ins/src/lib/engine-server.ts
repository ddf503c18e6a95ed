/**
 * A model engine as a process. It refuses positions out of order, counts every layer run, and dies of a prompt that
 * holds the word `crash-the-engine`.
 */
import type { Server } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { decodeOutput, encodeText, encodeToken, LayerFold } from './model-fold.js'
import { startStandInServer } from './stand-in-server.js'
import type { StandInReply, StandInRequest } from './stand-in-server.js'

/** Word in a prompt that crashes the engine. */
export const crashWord = 'crash-the-engine'

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

/** Runs steps of many requests. */
export class EngineServer {
  private readonly sessions = new Map<string, EngineSession>()
  private readonly rowsRun = new Map<string, number>()
  private loaded: object | undefined
  private highestFence = 0

  /**
   * @param stepMs - time that a step takes, in milliseconds
   * @param crash - called when a poisoned row arrives
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
    if (pathname === '/rows') return { status: 200, body: Object.fromEntries(this.rowsRun) }
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

  /** Takes orders to load layers; old fencing numbers are refused. */
  private handleLoaded (request: StandInRequest): StandInReply {
    if (request.method === 'GET') return this.loaded === undefined ? { status: 404 } : { status: 200, body: this.loaded }
    const { fence, ...layers } = JSON.parse(request.body) as { fence: number }
    if (fence < this.highestFence) return { status: 409 }
    this.highestFence = fence
    this.loaded = layers
    return { status: 200, body: layers }
  }

  private encode (text: string): string[] {
    const rows = encodeText(text).map((row) => Buffer.from(row).toString('base64'))
    return text.includes(crashWord) ? [...rows, crashRow] : rows
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
    this.rowsRun.set(request, (this.rowsRun.get(request) ?? 0) + outputs.length)
    if (!isLastStage) return { session, position, rows: outputs.map((row) => Buffer.from(row).toString('base64')) }
    const tokens = outputs.map((row) => {
      const { id, text } = decodeOutput(row)
      return { row: Buffer.from(encodeToken(id)).toString('base64'), text, isLast: false }
    })
    return { session, position, tokens }
  }
}
