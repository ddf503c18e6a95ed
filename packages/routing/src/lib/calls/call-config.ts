/**
 * Configuration of forwarded calls: routes, services, teams and limits.
 */

/** Whether a call may run more than once. */
export const Repeatability = {
  /** The call may run more than once. */
  idempotent: 'idempotent',
  /** The call runs at most once per attempt of its caller. */
  atMostOnce: 'at-most-once'
} as const
export type Repeatability = typeof Repeatability[keyof typeof Repeatability]

/** A service that may serve a route, with its share of calls. */
export interface RouteTarget {
  service: string
  /** Share relative to the other targets of the route; at least 0. */
  weight: number
}

/** One route: the calls that it matches and how they are served. */
export interface CallRoute {
  name: string
  host: string
  /** Path prefix; begins and ends with a slash. */
  pathPrefix: string
  repeatability: Repeatability
  /** Whether the answer is a stream of events. */
  isStream: boolean
  /** Whether an interrupted stream may resume at another endpoint. */
  isResumable: boolean
  /** Maximum time that a call may take, in milliseconds. */
  timeoutMs: number
  /** Latency objective: time within which an answer counts in full, in milliseconds. */
  objectiveMs: number
  /** Priority; 0 is the most urgent. */
  priority: number
  targets: RouteTarget[]
  /** Maximum number of endpoints at which one call may run. */
  maxAttempts: number
  /** Whether calls require no key. */
  isPublic: boolean
}

/** One type of accelerator. */
export interface AcceleratorType {
  name: string
  /** Memory for layers and requests, in megabytes. */
  memoryMb: number
  /** Time of a generation step as a multiple of the reference accelerator. */
  stepFactor: number
  /** Time to process a prompt as a multiple of the reference accelerator. */
  readFactor: number
}

/** The model engine behind a service. */
export interface EngineConfig {
  /** Maximum number of concurrent requests of an endpoint that is the first of their path. */
  slots: number
  layers: number
  layerMb: number
  /** Memory per request token over all layers, in bytes. */
  tokenBytes: number
  /** Time of a generation step over all layers on the reference accelerator, in milliseconds. */
  stepMs: number
  /** Time that each request in the batch adds to a step, over all layers on the reference accelerator, in milliseconds. */
  requestStepMs: number
  /** Prompt tokens that the reference accelerator processes per second. */
  promptTokensPerSecond: number
  /** Bytes transferred from one endpoint to the next per token. */
  activationBytes: number
  /** Bandwidth of the link between two data centres, in megabits per second. */
  dataCentreLinkMbps: number
  /** Time to load all layers, in milliseconds. */
  loadMs: number
  /** Number of concurrent loads that run at full speed. */
  concurrentLoads: number
  types: AcceleratorType[]
  /** Mean sizes of requests, in tokens. */
  usualPromptTokens: number
  usualAnswerTokens: number
}

/** One service. */
export interface CallService {
  name: string
  /** Present if the service is served by model endpoints that hold layers. */
  engine?: EngineConfig
}

/** Limits on requests of callers. */
export interface CallerLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** A team and its keys. */
export interface CallTeam {
  name: string
  keys: string[]
  /** Priority of its calls, which overrides that of the route; 0 is the most urgent. */
  priority?: number
}

/** The configuration of forwarded calls. */
export interface CallConfig {
  /** Version set by the operators; increases with each change. */
  version: number
  routes: CallRoute[]
  services: CallService[]
  limits: CallerLimits
  teams: CallTeam[]
}
