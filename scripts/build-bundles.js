/** Bundles each process role of the platform into one file under `target/`. */
import {build} from 'esbuild';

const roles = ['entry', 'agent'];

await build({
	entryPoints: Object.fromEntries(
		roles.map(role => [role, `platform/src/${role}-main.ts`]),
	),
	outdir: 'target',
	outExtension: {'.js': '.cjs'},
	bundle: true,
	platform: 'node',
	format: 'cjs',
	target: 'node20',
	minifySyntax: true,
	minifyWhitespace: true,
	alias: {
		'@balsamtray/core': './packages/core/src/index.ts',
		'@balsamtray/protocol': './packages/protocol/src/index.ts',
		'@balsamtray/daemon/direct': './packages/daemon/src/direct/index.ts',
	},
	// Loads a binary of its own for each kind of processor.
	external: ['koffi'],
	logLevel: 'warning',
});
