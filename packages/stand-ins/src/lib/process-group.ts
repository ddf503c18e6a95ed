/**
 * Starts and ends the separate processes of a demo or a failure test.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdirSync, openSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'

const startTimeoutMs = 15_000
const pollMs = 25

/** Groups of this process. What they have started must not outlive a run that is interrupted. */
const groups = new Set<ProcessGroup>()
process.once('exit', () => {
  for (const group of groups) group.killRunning()
})

/** Processes by name. Each writes its output to a file of its own. */
export class ProcessGroup {
  private readonly processes = new Map<string, ChildProcess>()

  /** @param folder - where outputs go */
  constructor (readonly folder: string) {
    mkdirSync(folder, { recursive: true })
    groups.add(this)
  }

  /**
   * Starts a process.
   *
   * @param env - variables besides those of this process
   */
  start (name: string, command: readonly string[], env: Record<string, string> = {}): void {
    const output = openSync(join(this.folder, `${name}.log`), 'a')
    const [program, ...args] = command as [string, ...string[]]
    this.processes.set(name, spawn(program, args, { stdio: ['ignore', output, output], env: { ...process.env, ...env } }))
  }

  /** Sends a signal to a process. */
  signal (name: string, signal: NodeJS.Signals): void {
    this.processes.get(name)?.kill(signal)
  }

  /** @returns what a process has written so far, over all its starts */
  readLog (name: string): string {
    return readFileSync(join(this.folder, `${name}.log`), 'utf8')
  }

  /** @returns the process's identity in the operating system */
  getPid (name: string): number {
    return this.processes.get(name)?.pid ?? 0
  }

  /** @returns whether a process has been started and has not ended */
  isRunning (name: string): boolean {
    const child = this.processes.get(name)
    return child !== undefined && child.exitCode === null && child.signalCode === null
  }

  /** Waits until a process has ended. */
  async waitForEnd (name: string): Promise<number | null> {
    const child = this.processes.get(name)
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return child?.exitCode ?? null
    return await new Promise((resolve) => { child.once('exit', (code) => { resolve(code) }) })
  }

  /** Ends all processes without waiting, as this process exits. */
  killRunning (): void {
    for (const name of this.processes.keys()) {
      if (this.isRunning(name)) this.signal(name, 'SIGKILL')
    }
  }

  /** Ends all processes at once. */
  async killAll (): Promise<void> {
    for (const [name, child] of this.processes) {
      if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
      await this.waitForEnd(name)
    }
  }
}

/** Waits until a URL answers 200. */
export const waitForUrl = async (url: string, timeoutMs = startTimeoutMs): Promise<void> => {
  const endMs = Date.now() + timeoutMs
  while (Date.now() < endMs) {
    try {
      const response = await fetch(url)
      await response.arrayBuffer()
      if (response.ok) return
    } catch {
      // The process is not listening yet.
    }
    await wait(pollMs)
  }
  throw new Error(`${url} did not answer 200 within ${timeoutMs} ms`)
}
