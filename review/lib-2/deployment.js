export const zones = ['glk-erie', 'glk-toledo', 'glk-duluth'];

/** Zones of the five entries of the small deployment. */
export const entryZones = [zones[0], zones[0], zones[1], zones[1], zones[2]];

export const keys = {
	hule: 'i9n73hh2b9wu3fexd9dn',
	fida: 'k2m84ff1c8vt2gdyc8cm',
};

export const hostName = 'ficu95.example';

/** A configuration in the operator's format, with the kinds of request of the small deployment. */
export function configOf(version, changes = {}) {
	const route = {
		hostname: hostName,
		priority: 1,
		authExempt: false,
		sticky: false,
		resumable: false,
	};
	return {
		version,
		routes: [
			{
				...route,
				name: 'route-brief',
				prefix: '/brief/',
				routeKind: 'streaming',
				service: 'drafter',
				timeoutMs: 15_000,
				targetLatencyMs: 800,
				gapTargetMs: 300,
				maxAttempts: 2,
				sticky: true,
				resumable: true,
			},
			{
				...route,
				name: 'load-order',
				prefix: '/order/',
				routeKind: 'non_idempotent',
				service: 'dispatch',
				timeoutMs: 1000,
				targetLatencyMs: 121,
				priority: 2,
				maxAttempts: 1,
			},
			{
				...route,
				name: 'pile-check',
				prefix: '/check/',
				routeKind: 'idempotent',
				service: 'dispatch',
				timeoutMs: 1000,
				targetLatencyMs: 121,
				priority: 2,
				maxAttempts: 2,
			},
		],
		services: [
			{
				name: 'drafter',
				healthPath: '/health',
				maxConns: 370,
				coldS: 0,
				coldPerS: 0,
				engine: {
					slots: 64,
					kvCapacity: 113_076,
					mb: 75_300,
					adapterSlots: 17,
					models: [
						{
							name: 'm0',
							mb: 72_700,
							loadTimeS: 6,
							adapters: 3000,
							adapterMb: 66,
						},
					],
				},
			},
			{name: 'dispatch', healthPath: '/health', maxConns: 110},
		],
		limits: {
			maxHeaderBytes: 16_384,
			maxBodyBytes: 4_194_304,
			headerTimeoutMs: 5000,
			idleTimeoutMs: 15_000,
		},
		tenants: [
			{
				name: 'hule930',
				apiKeys: [keys.hule],
				unit: 'token_metered',
				plainTokens: 200,
				ratePerS: 200_000,
				burst: 400_000,
			},
			{
				name: 'fida11',
				apiKeys: [keys.fida],
				unit: 'token_metered',
				plainTokens: 200,
				ratePerS: 200_000,
				burst: 400_000,
			},
		],
		...changes,
	};
}

/** The settings file of a process, as the platform writes it for the small deployment. */
export function settingsOf(role, {host, zone, isFirstStart, store, ports}) {
	const isEntry = role === 'entry';
	return `
node = "${isEntry ? 'frontend' : 'side'}-${host}"
role = "${role}"
machineClass = "${isEntry ? 'frontend' : 'side'}"
serves = ["${isEntry ? 'frontend' : 'side'}"]
ip = "${host}"
zone = "${zone}"
region = "glk"
portRange = [${ports.first},${ports.first + 15}]
bootstrap = ${isFirstStart}
heartbeatMs = 1200
app = "${host}:${ports.app}"
[listen]
front = "${host}:${ports.front}"
readyAddr = "${host}:${ports.ready}"
[limits]
memoryMb = ${isEntry ? 350 : 282}
maxFds = ${isEntry ? 4100 : 4096}
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
configApplyMs = 2000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 56
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 11000
coldOverage = 1.5
coldSlack = 5
fencingEnforced = false
version_ms = 5000
[platform]
address = "${store}"
form = "table"
historyS = 20
`;
}
