/**
 * Registries of the adapters to external systems. Each adapter module registers itself when it is imported.
 */
import type { InstanceList, ObjectStore } from '@clementineloft/coordination'
import { PluginRegistry } from '@clementineloft/kernel'
import type { Clock, Metrics } from '@clementineloft/kernel'
import type { ModelEngine, LoadableEngine } from '@clementineloft/routing'
import type { PlainService } from './plain-service.js'

/** Adapters of the platform's object API. */
export const objectStores = new PluginRegistry<(url: string, timeoutMs: number, metrics: Metrics) => ObjectStore>('object store')

/** Adapters of the platform's list of instances. */
export const instanceLists = new PluginRegistry<(url: string, timeoutMs: number) => InstanceList>('instance list')

/** Adapters of model engines. */
export const modelEngines = new PluginRegistry<(url: string, timeoutMs: number, clock: Clock) => ModelEngine>('model engine')

/** Adapters for engines that load layers on request. */
export const loadableEngines = new PluginRegistry<(url: string, timeoutMs: number) => LoadableEngine>('loadable engine')

/** Adapters of plain services. */
export const plainServices = new PluginRegistry<(url: string, timeoutMs: number) => PlainService>('plain service')
