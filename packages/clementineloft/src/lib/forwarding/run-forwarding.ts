/**
 * Runs a process that forwards calls: loads its settings file, starts its role and handles signals.
 */
import { createError, ErrorKind, getErrorMessage, parseSettings } from '@clementineloft/kernel'
import { readSettingsFile } from '../settings/read-settings-file.js'
import { forwardingSettingsSchema } from './forwarding-settings.js'
import type { ForwardingSettings } from './forwarding-settings.js'
import type { PlatformPorts } from './platform-ports.js'

/**
 * @returns the settings in a file
 * @throws `settings-invalid` that lists every invalid setting
 */
export const loadForwardingSettings = (file: string): ForwardingSettings => parseSettings(readSettingsFile(file), forwardingSettingsSchema)

const startProcess = async (settings: ForwardingSettings, ports: PlatformPorts): Promise<() => Promise<void>> => {
  if (settings.role === 'entry') return await (await import('./forwarding-entry.js')).runForwardingEntry(settings, ports)
  return await (await import('./layer-sidecar.js')).runLayerSidecar(settings, ports)
}

/** Runs a role until SIGTERM or SIGINT. */
export const runForwarding = async (role: ForwardingSettings['role'], file: string, ports: PlatformPorts): Promise<void> => {
  const settings = loadForwardingSettings(file)
  if (settings.role !== role) throw createError(ErrorKind.settingsInvalid, `"${file}" has settings for role "${settings.role}", expected role "${role}"`)
  const stop = await startProcess(settings, ports)
  let isStopping = false
  const handleSignal = (): void => {
    if (isStopping) return
    isStopping = true
    stop().then(() => { process.exit(0) }, (error: unknown) => {
      process.stderr.write(`shutdown failed: ${getErrorMessage(error)}\n`)
      process.exit(1)
    })
  }
  process.on('SIGTERM', handleSignal)
  process.on('SIGINT', handleSignal)
  // SIGHUP is ignored: settings are read once, and the platform restarts a process whose addresses change.
  process.on('SIGHUP', () => {})
}
