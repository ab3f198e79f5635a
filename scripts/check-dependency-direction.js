/**
 * Checks that each package imports only the packages it may depend on, and that the core does no I/O.
 * Prints each violation and exits with 1 if there is any.
 */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** Workspace packages that each package may import. */
const allowedImports = {
	core: [],
	protocol: ['core'],
	daemon: ['core', 'protocol'],
	client: ['core', 'protocol'],
	standins: [],
	scenarios: ['core', 'protocol', 'daemon', 'client', 'standins'],
	platform: ['core', 'protocol', 'daemon'],
};

/** Workspace packages that only the tests of a package may import. */
const allowedTestImports = {platform: ['standins']};

/** Folder of a package. The platform package is at the root, the others are under `packages/`. */
function folderOf(packageName) {
	return packageName === 'platform' ? 'platform' : `packages/${packageName}`;
}

/** Node modules that the core may import, because they do no I/O. */
const pureNodeModules = new Set(['node:buffer', 'node:crypto']);

const importPattern =
	/(?:from\s+|import\s+|import\()\s*['"](?<specifier>[^'"]+)['"]/gv;

function sourceFiles(directory) {
	return readdirSync(directory, {recursive: true})
		.filter(file => file.endsWith('.ts'))
		.map(file => path.join(directory, file));
}

function isAllowed(packageName, specifier, isTest) {
	if (specifier.startsWith('@balsamtray/')) {
		const target = specifier.split('/')[1];
		const allowed = [
			...allowedImports[packageName],
			...(isTest ? (allowedTestImports[packageName] ?? []) : []),
		];
		return allowed.includes(target);
	}

	if (packageName === 'core' && !isTest && !specifier.startsWith('.')) {
		return pureNodeModules.has(specifier);
	}

	return true;
}

function violationsOf(packageName) {
	const violations = [];
	for (const file of sourceFiles(`${folderOf(packageName)}/src`)) {
		const text = readFileSync(file, 'utf8');
		const isTest = file.endsWith('.test.ts');
		for (const match of text.matchAll(importPattern)) {
			const {specifier} = match.groups;
			if (!isAllowed(packageName, specifier, isTest)) {
				violations.push(`${file} imports ${specifier}`);
			}
		}
	}

	return violations;
}

const violations = Object.keys(allowedImports).flatMap(name =>
	violationsOf(name),
);
for (const violation of violations) {
	console.error(violation);
}

process.exitCode = violations.length === 0 ? 0 : 1;
