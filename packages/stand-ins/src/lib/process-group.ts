/**
 * Starts and stops the processes of a demo or a failure test, and kills them when this process exits.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdirSync, openSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'

const startTimeoutMs = 15_000
const pollIntervalMs = 25

/** Groups of this process, whose child processes must not outlive an interrupted run. */
const groups = new Set<ProcessGroup>()
process.once('exit', () => {
  for (const group of groups) group.killWithoutWaiting()
})

/** Child processes by name. Each writes its output to its own log file. */
export class ProcessGroup {
  private readonly processes = new Map<string, ChildProcess>()

  /** @param folder - folder for the log files, created if absent */
  constructor (readonly folder: string) {
    mkdirSync(folder, { recursive: true })
    groups.add(this)
  }

  /**
   * Starts a process.
   *
   * @param env - environment variables in addition to those of this process
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

  /** @returns output of a process so far, including that before restarts */
  readLog (name: string): string {
    return readFileSync(join(this.folder, `${name}.log`), 'utf8')
  }

  /** @returns the process ID, or 0 if the process was never started */
  getPid (name: string): number {
    return this.processes.get(name)?.pid ?? 0
  }

  /** @returns whether a process has been started and has not exited */
  isRunning (name: string): boolean {
    const child = this.processes.get(name)
    return child !== undefined && child.exitCode === null && child.signalCode === null
  }

  /** Waits until a process has exited. @returns its exit code, or `null` if a signal ended it or it was never started */
  async waitForExit (name: string): Promise<number | null> {
    const child = this.processes.get(name)
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return child?.exitCode ?? null
    return await new Promise((resolve) => { child.once('exit', (code) => { resolve(code) }) })
  }

  /** Kills all processes without waiting for their exit; called when this process exits. */
  killWithoutWaiting (): void {
    for (const name of this.processes.keys()) {
      if (this.isRunning(name)) this.signal(name, 'SIGKILL')
    }
  }

  /** Kills all processes, and waits until they have exited. */
  async killAll (): Promise<void> {
    for (const [name, child] of this.processes) {
      if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
      await this.waitForExit(name)
    }
  }
}

/**
 * Waits until a URL answers with a success status.
 *
 * @throws an error if it does not within `timeoutMs` milliseconds
 */
export const waitForUrl = async (url: string, timeoutMs = startTimeoutMs): Promise<void> => {
  const deadlineMs = Date.now() + timeoutMs
  while (Date.now() < deadlineMs) {
    try {
      const response = await fetch(url)
      await response.arrayBuffer()
      if (response.ok) return
    } catch {
      // The process is not listening yet.
    }
    await wait(pollIntervalMs)
  }
  throw new Error(`${url} did not answer 200 within ${timeoutMs} ms`)
}
