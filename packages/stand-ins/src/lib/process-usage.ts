/**
 * Reads what a process uses from the files of the kernel.
 */
import { readdirSync, readFileSync } from 'node:fs'

/** What a process uses. */
export interface ProcessUsage {
  /** Greatest resident memory since its start, in megabytes. */
  peakMb: number
  openDescriptors: number
}

const bytesPerKb = 1024
const bytesPerMb = 1e6

/** @returns what a process uses, or `undefined` if it has ended */
export const readProcessUsage = (pid: number): ProcessUsage | undefined => {
  try {
    const peak = /^VmHWM:\s+(\d+) kB/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]
    if (peak === undefined) return undefined
    return { peakMb: Number(peak) * bytesPerKb / bytesPerMb, openDescriptors: readdirSync(`/proc/${pid}/fd`).length }
  } catch {
    return undefined
  }
}
