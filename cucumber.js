export default {
  paths: ["features/*.feature"],
  import: ["target/test/features/steps/*.js"],
  format: ["summary"],
  strict: true,
  // Excludes the scenarios listed in KNOWN-RED.txt, which `npm run test:known-red` runs.
  tags: "not @known-red and not @known-red-at-times",
};
